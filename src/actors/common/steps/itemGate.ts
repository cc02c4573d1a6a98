/**
 * Which items may start, as far as engines ended under them. An item that ends each engine it runs on would else come first in
 * the line after every run and take engine after engine with all other items there. It is not given up, which only its trainer and
 * time may do: it waits, is tried as often as a caller's request, and the others go on without it.
 */

import type { RequestContent } from '../../../ports/common/fingerprints.ts'
import type { Clock } from '../../../ports/common/clock.ts'
import type { Route } from '../../../core/common/routes/routeConfiguration.ts'
import type { ItemPayload } from '../../../core/common/steps/step.ts'
import type { HeldRequests, Trial } from '../routes/heldRequests.ts'
import type { RunEnd } from './itemRun.ts'
import { contentOfItem } from './itemRun.ts'
import type { ItemWork } from './stepWork.ts'

export interface ItemGateServices {
  readonly held: Pick<HeldRequests, 'standing' | 'admit' | 'answered'>
  readonly clock: Clock
  /** Called when an item may start that might not before. */
  readonly onAdmitted: () => void
}

/** Time after which a trial is asked for again, in milliseconds. */
const ASK_AGAIN_MS = 500

export class ItemGate {
  private readonly contents = new WeakMap<ItemPayload, RequestContent>()
  private readonly asked = new WeakMap<ItemWork, 'asked' | Trial>()

  constructor (private readonly services: ItemGateServices) {}

  /** Whether an item may start now; asks for a trial where it is held. */
  mayStart (host: string, route: Route, itemWork: ItemWork, payload: ItemPayload): boolean {
    const content = this.contentOf(host, payload)
    if (this.services.held.standing(content).type !== 'held') return true
    const asked = this.asked.get(itemWork)
    if (asked === undefined) this.ask(content, route, itemWork)
    return asked !== undefined && asked !== 'asked'
  }

  /** Whether no engine ended under an item since it was last whole. */
  isFree (host: string, payload: ItemPayload): boolean {
    return this.services.held.standing(this.contentOf(host, payload)).type === 'free'
  }

  /** Takes what came of a run; a trial is given back if the run says nothing of the item. */
  runEnded (host: string, itemWork: ItemWork, payload: ItemPayload, { type }: RunEnd): void {
    const trial = this.asked.get(itemWork)
    this.asked.delete(itemWork)
    const giveBack = (): void => { if (trial !== undefined && trial !== 'asked') trial.withdraw() }
    if (itemWork.cancel.signal.aborted) return giveBack()
    switch (type) {
      case 'complete':
      case 'impossible':
        return this.services.held.answered(this.contentOf(host, payload))
      case 'refused':
      case 'moved':
      case 'too-old': return giveBack()
      case 'failed':
      case 'broken':
      case 'restarted': return undefined
    }
  }

  private contentOf (host: string, payload: ItemPayload): RequestContent {
    const known = this.contents.get(payload)
    if (known !== undefined) return known
    const content = contentOfItem(host, payload)
    this.contents.set(payload, content)
    return content
  }

  private ask (content: RequestContent, route: Route, itemWork: ItemWork): void {
    this.asked.set(itemWork, 'asked')
    const later = (): void => { this.services.clock.after(ASK_AGAIN_MS, () => { if (this.asked.get(itemWork) === 'asked') this.asked.delete(itemWork) }) }
    this.services.held.admit(content, route, 0).then((admission) => {
      switch (admission.type) {
        case 'held': return later()
        case 'open':
          this.asked.delete(itemWork)
          return this.services.onAdmitted()
        case 'trial':
          if (itemWork.cancel.signal.aborted) return admission.trial.withdraw()
          this.asked.set(itemWork, admission.trial)
          return this.services.onAdmitted()
      }
    }, later)
  }
}
