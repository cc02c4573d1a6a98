/** Submissions and pulls of trainers. */

import { z } from 'zod'
import type { Result } from '../../../base/common/resultCode.ts'
import { failure, success } from '../../../base/common/resultCode.ts'
import type { FoldView } from '../../../actors/common/log/controlLog.ts'
import type { TrainerService } from '../../../actors/common/samples/trainerService.ts'
import { findObject } from '../../../core/common/fold/configuration.ts'
import type { Metrics } from '../../../ports/common/observation.ts'
import type { Exchange } from '../exchange.ts'
import type { Router } from '../router.ts'

const whole = z.number().int().nonnegative()
const identifier = z.string().min(1).max(200).refine((value) => !(value in {}), 'this name is reserved')

const groupsSchema = z.strictObject({
  groups: z.array(z.strictObject({
    id: identifier,
    step: whole,
    prompt: z.string().min(1),
    samples: z.number().int().min(1).max(1024),
    issued_at: whole
  })).min(1).max(512)
})

export interface TrainerRouteServices {
  readonly desk: TrainerService
  readonly fold: FoldView
  readonly metrics: Metrics
}

export class TrainerRoutes {
  private readonly pullSchema

  constructor (private readonly services: TrainerRouteServices, longestPullMs: number) {
    this.pullSchema = z.strictObject({
      cursor: whole,
      version: whole,
      maximum: z.number().int().min(1).max(100_000).default(512),
      minimum: z.number().int().min(1).max(100_000).default(1),
      wait_ms: whole.max(longestPullMs).default(longestPullMs)
    })
  }

  register (router: Router): void {
    router.register({ method: 'POST', path: '/v1/subscriptions/:name/groups', access: 'trainer', handle: async (exchange) => { await this.submit(exchange) } })
    router.register({ method: 'POST', path: '/v1/subscriptions/:name/pull', access: 'trainer', handle: async (exchange) => { await this.pull(exchange) } })
  }

  private async submit (exchange: Exchange): Promise<void> {
    const body = await exchange.json(groupsSchema)
    if (!body.ok) return exchange.sendFailure(body)
    const name = this.own(exchange)
    if (!name.ok) return exchange.sendFailure(name)
    const groups = body.value.groups.map(({ issued_at: issuedAt, ...group }) => ({ ...group, issuedAt }))
    const taken = await this.services.desk.submit(name.value, groups)
    if (!taken.ok) return exchange.sendFailure(taken)
    this.services.metrics.count('groups.submitted', taken.value)
    exchange.sendJson(200, { groups: taken.value })
  }

  private async pull (exchange: Exchange): Promise<void> {
    const body = await exchange.json(this.pullSchema)
    if (!body.ok) return exchange.sendFailure(body)
    const name = this.own(exchange)
    if (!name.ok) return exchange.sendFailure(name)
    const { wait_ms: waitMs, ...rest } = body.value
    const batch = await this.services.desk.pull(name.value, { ...rest, waitMs })
    if (!batch.ok) return exchange.sendFailure(batch)
    this.services.metrics.count('samples.handed_over', batch.value.samples.length)
    exchange.sendJson(200, batch.value)
  }

  /** A trainer sees only its own subscription. */
  private own (exchange: Exchange): Result<string> {
    if (!this.services.fold.fresh) return failure('stale', 'this host may be behind')
    const name = exchange.parameters.name ?? ''
    const subscription = findObject(this.services.fold.state.configuration, 'subscription', name)
    if (subscription === undefined) return failure('notFound', `there is no subscription ${name}`)
    if (subscription.properties.trainer !== exchange.callerName) return failure('forbidden', `subscription ${name} is not yours`)
    return success(name)
  }
}
