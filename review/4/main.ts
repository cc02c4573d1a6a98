/** A trainer submits items that no worker's memory can hold, while another trainer's step is under way. */

import { MEMORY_TOKENS, MODEL, SLOTS, configuration, deployment, item, pause, run, submission } from '../support-2/case.ts'

/** The time that the trainers of the site allow a step, from its submission. */
const TIME_BUDGET_MS = 12_000
/** The rule counts an item that has been at no worker for this long. */
const UNSERVED_MS = 5000
/** The rule doesn't count runs that their sender ends within this time. */
const SHORT_RUN_MS = 1000
const WORKERS = 4
const SERVICE_SLOTS = WORKERS * SLOTS
const ITEMS = 200
const OVERSIZE_ITEMS = 68
const OVERSIZE_TOKENS = 60_000

run({
  options: { ...deployment, configuration, engines: Array.from({ length: WORKERS }, (_, index) => ({ id: `i-engine-${index}`, service: 'drafter', zone: `zone-${index % 3}`, slots: SLOTS, model: MODEL, memoryTokens: MEMORY_TOKENS, eventMs: 20 })) },
  play: async ({ hosts: [first, second, third], engines }, journal, trouble) => {
    if (first === undefined || second === undefined || third === undefined) throw new Error('three hosts are expected')
    const ids = Array.from({ length: ITEMS }, (_, index) => `e5b2907c14da${String(index).padStart(4, '0')}`)
    const step = '7c41e09b52d6a3f8'
    const submittedAt = Date.now()
    const accepted = await first.call({ path: '/pule252/7c41e0', id: step, body: submission(ids.map((id, index) => item({ id, group: `g${index >> 2}`, events: 40 })), ITEMS / 4) })
    journal.write(`step ${step} of ${ITEMS} items submitted at ${first.name}: ${accepted.status ?? accepted.error}`)
    if (accepted.status !== 202) throw new Error('the step was not accepted')
    await pause(500)
    const other = 'b07d41e652a9c3f1'
    const size = trouble ? OVERSIZE_TOKENS : 271
    const submitted = await second.call({ path: '/pule252/b07d41', id: other, body: submission(Array.from({ length: OVERSIZE_ITEMS }, (_, index) => item({ id: `40c8f1a7b3e9${String(index).padStart(4, '0')}`, group: `h${index >> 2}`, events: 40, tokensIn: size, tokensOut: 400 })), OVERSIZE_ITEMS / 4) })
    journal.write(`step ${other} of ${OVERSIZE_ITEMS} items of ${size + 400} tokens (memory of a worker: ${MEMORY_TOKENS}) submitted at ${second.name}: ${submitted.status ?? submitted.error}`)
    const seconds = TIME_BUDGET_MS / 1000
    for (let second = 1; second <= seconds; second++) {
      await pause(submittedAt + second * 1000 - Date.now())
      const page = await third.call({ method: 'GET', path: `/lots/${step}?after=0` })
      const listed = page.status === 200 ? (JSON.parse(page.text) as { results: unknown[] }).results.length : 0
      const rejected = engines.reduce((sum, engine) => sum + [...engine.rejected.values()].reduce((count, each) => count + each, 0), 0)
      journal.write(`${second} s after its submission: ${listed} of ${ITEMS} items of step ${step} listed at ${third.name} (${page.status ?? page.error}); requests rejected as too large: ${rejected}; requests running: ${engines.reduce((sum, { runs }) => sum + runs.filter(({ endedAt }) => endedAt === undefined).length, 0)} of ${SERVICE_SLOTS} slots`)
    }
    const now = Date.now()
    const runsOf = (id: string) => engines.flatMap(({ runs }) => runs).filter((each) => each.id === id)
    const counted = (id: string) => runsOf(id).filter(({ beganAt, endedAt = now, isComplete }) => isComplete || endedAt - beganAt > SHORT_RUN_MS)
    const begun = ids.filter((id) => runsOf(id).length > 0)
    const finished = ids.filter((id) => runsOf(id).some(({ isComplete }) => isComplete))
    const unserved = ids.filter((id) => !finished.includes(id) && Math.max(submittedAt, ...counted(id).map(({ endedAt = now }) => endedAt)) <= now - UNSERVED_MS)
    const mostBusy = busiest(engines.flatMap(({ runs }) => runs), now - UNSERVED_MS, now)
    journal.write(`begun: ${begun.length}, finished by a worker: ${finished.length}, not finished and at no worker for 5 s: ${unserved.length}; most slots used in these 5 s: ${mostBusy} of ${SERVICE_SLOTS}`)
    return {
      broken: begun.length > 0 && unserved.length > 0 && mostBusy < SERVICE_SLOTS / 2,
      why: `LOST: at the end of its time, ${unserved.length} of ${ITEMS} items of an accepted step had been at no worker for 5 s, while at most ${mostBusy} of ${SERVICE_SLOTS} slots were used`
    }
  }
})

/** Returns the largest number of runs at the same time within an interval. */
function busiest (runs: readonly { readonly beganAt: number, readonly endedAt: number | undefined }[], from: number, to: number): number {
  const moments = [from, ...runs.map(({ beganAt }) => beganAt).filter((beganAt) => beganAt >= from)]
  return Math.max(...moments.map((moment) => runs.filter(({ beganAt, endedAt = to }) => beganAt <= moment && endedAt > moment).length))
}
