/** Routes for trainers: submitting groups and pulling samples. */

import { z } from 'zod'
import type { Result } from '../../../base/common/resultCode.ts'
import { failure, success } from '../../../base/common/resultCode.ts'
import type { FoldView } from '../../../actors/common/log/controlLog.ts'
import type { TrainerService } from '../../../actors/common/samples/trainerService.ts'
import { findObject } from '../../../core/common/fold/configuration.ts'
import type { Metrics } from '../../../ports/common/observation.ts'
import type { Exchange } from '../exchange.ts'
import type { Router } from '../router.ts'

const nonNegativeInteger = z.number().int().nonnegative()
const identifier = z.string().min(1).max(200).refine((value) => !(value in {}), 'this name is reserved')

const groupsSchema = z.strictObject({
  groups: z.array(z.strictObject({
    id: identifier,
    step: nonNegativeInteger,
    prompt: z.string().min(1),
    samples: z.number().int().min(1).max(1024),
    issued_at: nonNegativeInteger
  })).min(1).max(512)
})

export interface TrainerRouteServices {
  readonly trainerApi: TrainerService
  readonly fold: FoldView
  readonly metrics: Metrics
}

export class TrainerRoutes {
  private readonly pullSchema

  constructor (private readonly services: TrainerRouteServices, maximumPullWaitMs: number) {
    this.pullSchema = z.strictObject({
      cursor: nonNegativeInteger,
      version: nonNegativeInteger,
      maximum: z.number().int().min(1).max(100_000).default(512),
      minimum: z.number().int().min(1).max(100_000).default(1),
      wait_ms: nonNegativeInteger.max(maximumPullWaitMs).default(maximumPullWaitMs)
    })
  }

  register (router: Router): void {
    router.register({ method: 'POST', path: '/v1/subscriptions/:name/groups', access: 'trainer', handle: async (exchange) => { await this.submit(exchange) } })
    router.register({ method: 'POST', path: '/v1/subscriptions/:name/pull', access: 'trainer', handle: async (exchange) => { await this.pull(exchange) } })
  }

  private async submit (exchange: Exchange): Promise<void> {
    const body = await exchange.readJson(groupsSchema)
    if (!body.ok) return exchange.sendFailure(body)
    const name = this.ownSubscription(exchange)
    if (!name.ok) return exchange.sendFailure(name)
    const groups = body.value.groups.map(({ issued_at: issuedAt, ...group }) => ({ ...group, issuedAt }))
    const taken = await this.services.trainerApi.submit(name.value, groups)
    if (!taken.ok) return exchange.sendFailure(taken)
    this.services.metrics.count('groups.submitted', taken.value)
    exchange.sendJson(200, { groups: taken.value })
  }

  private async pull (exchange: Exchange): Promise<void> {
    const body = await exchange.readJson(this.pullSchema)
    if (!body.ok) return exchange.sendFailure(body)
    const name = this.ownSubscription(exchange)
    if (!name.ok) return exchange.sendFailure(name)
    const { wait_ms: waitMs, ...rest } = body.value
    const batch = await this.services.trainerApi.pull(name.value, { ...rest, waitMs })
    if (!batch.ok) return exchange.sendFailure(batch)
    this.services.metrics.count('samples.handed_over', batch.value.samples.length)
    exchange.sendJson(200, batch.value)
  }

  /** Returns the name of the requested subscription if it belongs to the trainer. */
  private ownSubscription (exchange: Exchange): Result<string> {
    if (!this.services.fold.fresh) return failure('stale', 'this host may not have the latest state')
    const name = exchange.parameters.name ?? ''
    const subscription = findObject(this.services.fold.state.configuration, 'subscription', name)
    if (subscription === undefined) return failure('notFound', `subscription ${name} does not exist`)
    if (subscription.properties.trainer !== exchange.callerName) return failure('forbidden', `subscription ${name} belongs to another trainer`)
    return success(name)
  }
}
