/**
 * Computes how long a host pauses between two reads of a topic that it only follows. The holder of a duty renews
 * it several times a second, and each renewal completes the pending read of every host. The load on the store thus
 * grows with the number of hosts, although few of them need the data at once. Hosts without a waiting caller
 * therefore pause longer the more hosts there are; a host that receives a request reads immediately.
 */

/** Maximum reads per second of all hosts together for one topic: an eighth of the capacity of a small store. */
const MAX_READS_PER_SECOND = 250
/**
 * Keeps a host's view of the topic less than a second old. Within that time, a caller that goes to another host
 * must not see less than it has already seen.
 */
const MAX_PAUSE_MS = 800

/** Returns the pause for the given number of hosts, at least the minimum. */
export function followPauseMs (hosts: number, minimumMs: number): number {
  return Math.max(minimumMs, Math.min(MAX_PAUSE_MS, hosts * 1000 / MAX_READS_PER_SECOND))
}
