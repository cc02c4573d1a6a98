/**
 * Decides which items may start, based on the engines that terminated while running them. An item that crashes every engine it
 * runs on would otherwise be first in the queue after each run and take down engine after engine, together with all other items
 * there. Such an item is not abandoned, which is left to its trainer and the retention time: it waits, is tried as often as a
 * caller's request would be, and the other items proceed without it.
 */

import type { RequestContent } from '../../../ports/common/fingerprints.ts'
import type { Clock } from '../../../ports/common/clock.ts'
import type { Route } from '../../../core/common/routes/routeConfiguration.ts'
import type { ItemPayload } from '../../../core/common/steps/step.ts'
import type { RequestQuarantine, Trial } from '../routes/requestQuarantine.ts'
import type { RunOutcome } from './itemRun.ts'
import { itemRequestContent } from './itemRun.ts'
import type { ItemWork } from './stepWork.ts'

export interface ItemGateServices {
  readonly held: Pick<RequestQuarantine, 'standing' | 'admit' | 'answered'>
  readonly clock: Clock
  /** Called when an item that was held back may start. */
  readonly onAdmitted: () => void
}

const TRIAL_RETRY_INTERVAL_MS = 500

export class ItemGate {
  private readonly requestContents = new WeakMap<ItemPayload, RequestContent>()
  private readonly asked = new WeakMap<ItemWork, 'asked' | Trial>()

  constructor (private readonly services: ItemGateServices) {}

  /** Returns whether an item may start now. Requests a trial if the item is held back. */
  mayStart (host: string, route: Route, itemWork: ItemWork, payload: ItemPayload): boolean {
    const content = this.requestContentOf(host, payload)
    if (this.services.held.standing(content).type !== 'held') return true
    const trial = this.asked.get(itemWork)
    if (trial === undefined) this.requestTrial(content, route, itemWork)
    return trial !== undefined && trial !== 'asked'
  }

  /** Returns whether no engine has terminated while running the item since the item last completed. */
  isUnrestricted (host: string, payload: ItemPayload): boolean {
    return this.services.held.standing(this.requestContentOf(host, payload)).type === 'free'
  }

  /** Processes the outcome of a run. The trial is withdrawn if the outcome tells nothing about the item. */
  handleRunEnd (host: string, itemWork: ItemWork, payload: ItemPayload, { type }: RunOutcome): void {
    const trial = this.asked.get(itemWork)
    this.asked.delete(itemWork)
    const withdrawTrial = (): void => { if (trial !== undefined && trial !== 'asked') trial.withdraw() }
    if (itemWork.cancel.signal.aborted) return withdrawTrial()
    switch (type) {
      case 'complete':
      case 'impossible':
        return this.services.held.answered(this.requestContentOf(host, payload))
      case 'refused':
      case 'moved':
      case 'too-old': return withdrawTrial()
      case 'failed':
      case 'broken':
      case 'restarted': return undefined
    }
  }

  private requestContentOf (host: string, payload: ItemPayload): RequestContent {
    const known = this.requestContents.get(payload)
    if (known !== undefined) return known
    const content = itemRequestContent(host, payload)
    this.requestContents.set(payload, content)
    return content
  }

  private requestTrial (content: RequestContent, route: Route, itemWork: ItemWork): void {
    this.asked.set(itemWork, 'asked')
    const retryLater = (): void => { this.services.clock.after(TRIAL_RETRY_INTERVAL_MS, () => { if (this.asked.get(itemWork) === 'asked') this.asked.delete(itemWork) }) }
    this.services.held.admit(content, route, 0).then((admission) => {
      switch (admission.type) {
        case 'held': return retryLater()
        case 'open':
          this.asked.delete(itemWork)
          return this.services.onAdmitted()
        case 'trial':
          if (itemWork.cancel.signal.aborted) return admission.trial.withdraw()
          this.asked.set(itemWork, admission.trial)
          return this.services.onAdmitted()
      }
    }, retryLater)
  }
}
