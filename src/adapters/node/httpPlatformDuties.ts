/** Accesses the platform's duty interface over HTTP. */

import type { DutyHolder, DutyVerdict, PlatformDuties, ScaleOrder, ScaleVerdict } from '../../ports/common/platformDuties.ts'
import type { DutyCall, DutyProtocol } from '../../ports/common/protocols.ts'
import type { SealedWindow } from '../../core/common/usage/usageFold.ts'
import type { ConnectionPools } from './connectionPools.ts'
import { isTimeoutError } from './connectionPools.ts'

/** Must not exceed the time that a new duty holder waits before it acts, so that no request of the former holder is still in flight then. */
const RESPONSE_TIMEOUT_MS = 1500
/** Largest answer that is read; only its status counts. */
export const MAX_DUTY_ANSWER_BYTES = 65_536

export class HttpPlatformDuties implements PlatformDuties {
  /** @param address origin (URL) of the duty interface */
  constructor (private readonly connections: ConnectionPools, private readonly protocol: DutyProtocol, private readonly address: string) {}

  async reportUsage (report: SealedWindow, holder: DutyHolder): Promise<DutyVerdict> {
    return await this.send(this.protocol.usageReport(report, holder), (status) => this.protocol.dutyVerdict(status))
  }

  async scaleService (order: ScaleOrder, holder: DutyHolder): Promise<ScaleVerdict> {
    return await this.send(this.protocol.scaleOrder(order, holder), (status) => this.protocol.scaleVerdict(status))
  }

  private async send<Verdict> ({ path, headers, body }: DutyCall, verdictOf: (status: number) => Verdict): Promise<Verdict | 'no-answer'> {
    const pool = this.connections.poolFor(this.address)
    try {
      const response = await pool.request({ method: 'POST', path, headers: [...headers], body, signal: AbortSignal.timeout(RESPONSE_TIMEOUT_MS) })
      await response.body.bytes()
      return verdictOf(response.statusCode)
    } catch (error) {
      if (isTimeoutError(error)) this.connections.retire(this.address, pool)
      return 'no-answer'
    }
  }
}
