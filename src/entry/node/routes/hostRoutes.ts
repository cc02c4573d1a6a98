/** Routes for host addresses, health, metrics and operator statements. */

import { z } from 'zod'
import type { FoldView } from '../../../actors/common/log/controlLog.ts'
import type { MembershipView } from '../../../actors/common/membership/membership.ts'
import type { OperatorService } from '../../../actors/common/operators/operatorService.ts'
import type { StatsdMetrics } from '../../../adapters/node/statsdMetrics.ts'
import type { Exchange } from '../exchange.ts'
import type { Router } from '../router.ts'

const commandSchema = z.strictObject({
  statement: z.string().min(1),
  id: z.string().min(1).max(150).optional(),
  wait: z.boolean().default(false)
})

/** Weight of a host at full load. It is above zero so that callers can still find the host. */
const MIN_WEIGHT = 0.05
export interface HostRouteServices {
  readonly fold: FoldView
  readonly membership: MembershipView
  readonly operatorApi: OperatorService
  readonly metrics: StatsdMetrics
}

export class HostRoutes {
  constructor (private readonly services: HostRouteServices, private readonly validForMs: number) {}

  register (router: Router): void {
    router.register({ method: 'GET', path: '/v1/addresses', access: 'anyone', handle: async (exchange) => { this.addresses(exchange) } })
    router.register({ method: 'GET', path: '/v1/health', access: 'anyone', handle: async (exchange) => { this.health(exchange) } })
    router.register({ method: 'GET', path: '/v1/metrics', access: 'operator', internal: true, handle: async (exchange) => { exchange.sendJson(200, this.services.metrics.values()) } })
    router.register({ method: 'POST', path: '/v1/command', access: 'operator', handle: async (exchange) => { await this.command(exchange) } })
  }

  /** Lists live hosts, those in the failure domain of the caller first. Hosts that are leaving are not listed. */
  private addresses (exchange: Exchange): void {
    const { membership } = this.services
    const place = exchange.query.get('place') ?? membership.self.place
    const addresses = membership.available()
      .map((member) => ({
        address: member.address,
        place: member.place,
        weight: Math.round(Math.max(MIN_WEIGHT, 1 - (membership.loadOf(member.host) ?? 0)) * 1000) / 1000
      }))
      .sort((a, b) => Number(b.place === place) - Number(a.place === place) || b.weight - a.weight)
    exchange.sendJson(200, { addresses, valid_for_ms: this.validForMs })
  }

  private health (exchange: Exchange): void {
    const { fold, membership } = this.services
    exchange.sendJson(fold.fresh ? 200 : 503, {
      host: membership.self.host,
      status: membership.self.status,
      fresh: fold.fresh,
      offset: fold.state.offset,
      revision: fold.state.configurationRevision
    })
  }

  private async command (exchange: Exchange): Promise<void> {
    const body = await exchange.readJson(commandSchema)
    if (!body.ok) return exchange.sendFailure(body)
    const { statement, id, wait } = body.value
    const answer = await this.services.operatorApi.run({ statement, wait, ...(id === undefined ? {} : { id }) }, { name: exchange.callerName })
    if (answer.ok) exchange.sendJson(200, answer.value)
    else exchange.sendFailure(answer)
  }
}
