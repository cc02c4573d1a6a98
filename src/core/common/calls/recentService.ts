/** Counts the calls that each workspace has started recently, with exponential decay, so that workspaces can be served in turn. */

import type { WorkspaceName } from '../../../base/common/ids.ts'

/** Time after which a start counts for about a third. It is longer than a call waits, so that a workspace that sends heavily stays behind the others for as long as they wait. */
const DECAY_MS = 3000
/** Number of accounts above which those that have decayed are deleted. */
const MAX_ACCOUNTS = 1000
const NEGLIGIBLE_STARTS = 0.01

interface Account {
  readonly starts: number
  readonly at: number
}

export class RecentService {
  /** Calls without a workspace share one account. */
  private readonly accounts = new Map<WorkspaceName | undefined, Account>()

  startsOf (workspace: WorkspaceName | undefined, now: number): number {
    const account = this.accounts.get(workspace)
    return account === undefined ? 0 : decayed(account, now)
  }

  /** Adds starts of a workspace; a negative number withdraws a start that did not take place. */
  add (workspace: WorkspaceName | undefined, starts: number, now: number): void {
    this.accounts.set(workspace, { starts: Math.max(0, this.startsOf(workspace, now) + starts), at: now })
    if (this.accounts.size <= MAX_ACCOUNTS) return
    for (const [name, account] of this.accounts) if (decayed(account, now) < NEGLIGIBLE_STARTS) this.accounts.delete(name)
  }
}

function decayed ({ starts, at }: Account, now: number): number {
  return starts * Math.exp((at - now) / DECAY_MS)
}
