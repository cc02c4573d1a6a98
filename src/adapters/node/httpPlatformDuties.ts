/** The platform's interface for duties over HTTP. */

import type { DutyHolder, DutyVerdict, PlatformDuties } from '../../ports/common/platformDuties.ts'
import type { DutyCall, DutyProtocol } from '../../ports/common/protocols.ts'
import type { SealedWindow } from '../../core/common/usage/usageFold.ts'
import type { Connections } from './connections.ts'
import { wentSilent } from './connections.ts'

/** Longest wait for an answer, in milliseconds: a call may not be under way for longer than a new holder rests. */
const ANSWER_MS = 1500

export class HttpPlatformDuties implements PlatformDuties {
  /** @param address origin of the interface */
  constructor (private readonly connections: Connections, private readonly protocol: DutyProtocol, private readonly address: string) {}

  async reportUsage (report: SealedWindow, holder: DutyHolder): Promise<DutyVerdict> {
    return await this.send(this.protocol.usageReport(report, holder))
  }

  private async send ({ path, headers, body }: DutyCall): Promise<DutyVerdict> {
    const pool = this.connections.to(this.address)
    try {
      const answer = await pool.request({ method: 'POST', path, headers: [...headers], body, signal: AbortSignal.timeout(ANSWER_MS) })
      await answer.body.bytes()
      return this.protocol.dutyVerdict(answer.statusCode)
    } catch (error) {
      if (wentSilent(error)) this.connections.suspect(this.address, pool)
      return 'no-answer'
    }
  }
}
