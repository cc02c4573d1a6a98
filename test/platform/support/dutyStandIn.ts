/**
 * A stand-in for the platform's interface for duties. It judges what it gets: two reports for one window that differ, numbers of
 * holders that fall, two holders with one number, holders that take turns within a lease, and more calls than it allows.
 */

import type { Server } from 'node:http'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'

/** How the interface treats its callers; `unanswered`: calls are done and get no answer. */
export type DutyFault = 'none' | 'many' | 'down' | 'silent' | 'unanswered'

export interface UsageReport {
  readonly window: number
  readonly counts: Readonly<Record<string, number>>
  readonly holder: string
  readonly fence: number
  readonly at: number
}

/** Holders that take turns within this time act at once, in milliseconds. */
const LEASE_MS = 3000
/** Calls a second that are taken. */
const MOST_CALLS = 50

export class DutyStandIn {
  readonly reports: UsageReport[] = []
  readonly violations: string[] = []
  fault: DutyFault = 'none'
  address = ''
  private readonly calls: number[] = []

  private constructor (private readonly server: Server) {}

  static async start (): Promise<DutyStandIn> {
    const server = createServer((request, response) => {
      const pieces: Buffer[] = []
      request.on('data', (piece: Buffer) => { pieces.push(piece) })
      request.on('end', () => {
        const status = standIn.receive(request.url ?? '', request.headers, Buffer.concat(pieces).toString('utf8'))
        if (status === undefined) return
        response.writeHead(status).end()
      })
    })
    const standIn = new DutyStandIn(server)
    await new Promise<void>((resolve) => { server.listen(0, '127.0.0.1', resolve) })
    standIn.address = `http://127.0.0.1:${(server.address() as AddressInfo).port}`
    return standIn
  }

  async close (): Promise<void> {
    this.server.closeAllConnections()
    await new Promise<void>((resolve) => { this.server.close(() => { resolve() }) })
  }

  /** Counts of a window, as reported. */
  counts (window: number): Readonly<Record<string, number>> | undefined {
    return this.reports.find((report) => report.window === window)?.counts
  }

  private receive (path: string, headers: Readonly<Record<string, string | string[] | undefined>>, body: string): number | undefined {
    if (this.fault === 'silent') return undefined
    if (this.fault === 'down') return 503
    if (this.fault === 'many' || this.isTooMany()) return 429
    if (path !== '/usage') return 404
    const { window_id: window, counts } = JSON.parse(body) as { window_id: number, counts: Record<string, number> }
    this.judge({ window, counts, holder: String(headers['bulrushvalve-duty-holder']), fence: Number(headers['bulrushvalve-fence-token']), at: Date.now() })
    return this.fault === 'unanswered' ? undefined : 200
  }

  private isTooMany (): boolean {
    const now = Date.now()
    while ((this.calls[0] ?? now) < now - 1000) this.calls.shift()
    this.calls.push(now)
    return this.calls.length > MOST_CALLS
  }

  private judge (report: UsageReport): void {
    const { window, holder, fence, at } = report
    const known = this.reports.find((other) => other.window === window)
    if (known !== undefined && JSON.stringify(known.counts) !== JSON.stringify(report.counts)) this.violations.push(`window ${window} was reported twice with different counts`)
    const former = this.reports.at(-1)
    if (former !== undefined && (fence < former.fence || (fence === former.fence && holder !== former.holder))) this.violations.push(`${holder} came with number ${fence} after ${former.holder} with ${former.fence}`)
    const before = this.reports.findLastIndex((other) => other.holder !== holder)
    const turn = this.reports.slice(0, Math.max(0, before)).findLast((other) => other.holder === holder)
    if (before === this.reports.length - 1 && turn !== undefined && at - turn.at < LEASE_MS) this.violations.push(`${holder} acts again ${at - turn.at} ms after another holder came between`)
    this.reports.push(report)
  }
}
