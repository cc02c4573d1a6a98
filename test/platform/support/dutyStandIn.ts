/**
 * Stand-in for the platform's duty interface. It records violations of the protocol: different reports for the same window,
 * decreasing fencing tokens, two holders with the same token, and holders that alternate within a lease. Calls above the
 * rate limit are refused.
 */

import type { Server } from 'node:http'
import { createServer } from 'node:http'
import type { AddressInfo } from 'node:net'

/** Injected fault: `many` responds with 429, `down` with 503; `silent` ignores calls, and `unanswered` processes them without a response. */
export type DutyFault = 'none' | 'many' | 'down' | 'silent' | 'unanswered'

export interface UsageReport {
  readonly window: number
  readonly counts: Readonly<Record<string, number>>
  readonly holder: string
  readonly fence: number
  readonly at: number
}

/** An order of targets, with the answer's status. */
export interface ReceivedScaleOrder {
  readonly service: string
  readonly place: string
  readonly count: number
  readonly spot: boolean
  readonly holder: string
  readonly fence: number
  readonly at: number
  readonly status: number
}

/** Holders that alternate within this time count as acting concurrently. */
const LEASE_MS = 3000
const MAX_CALLS_PER_SECOND = 50

export class DutyStandIn {
  readonly reports: UsageReport[] = []
  readonly scaleOrders: ReceivedScaleOrder[] = []
  readonly violations: string[] = []
  /** Executes an order of targets and returns the status of the answer. */
  onScale: (order: Omit<ReceivedScaleOrder, 'status'>) => number = () => 409
  fault: DutyFault = 'none'
  address = ''
  private readonly callTimes: number[] = []

  private constructor (private readonly server: Server) {}

  static async start (): Promise<DutyStandIn> {
    const server = createServer((request, response) => {
      const chunks: Buffer[] = []
      request.on('data', (chunk: Buffer) => { chunks.push(chunk) })
      request.on('end', () => {
        const status = standIn.receive(request.url ?? '', request.headers, Buffer.concat(chunks).toString('utf8'))
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

  /** Returns the reported counts of a window. */
  counts (window: number): Readonly<Record<string, number>> | undefined {
    return this.reports.find((report) => report.window === window)?.counts
  }

  private receive (path: string, headers: Readonly<Record<string, string | string[] | undefined>>, body: string): number | undefined {
    if (this.fault === 'silent') return undefined
    if (this.fault === 'down') return 503
    if (this.fault === 'many' || this.exceedsRateLimit()) return 429
    if (path === '/scale') return this.scale(headers, body)
    if (path !== '/usage') return 404
    const { window_id: window, counts } = JSON.parse(body) as { window_id: number, counts: Record<string, number> }
    this.checkReport({ window, counts, holder: String(headers['bulrushvalve-duty-holder']), fence: Number(headers['bulrushvalve-fence-token']), at: Date.now() })
    return this.fault === 'unanswered' ? undefined : 200
  }

  private scale (headers: Readonly<Record<string, string | string[] | undefined>>, body: string): number {
    const { service, zone, group_count: count, spot = false } = JSON.parse(body) as { service: string, zone: string, group_count: number, spot?: boolean }
    const order = { service, place: zone, count, spot, holder: String(headers['bulrushvalve-duty-holder']), fence: Number(headers['bulrushvalve-fence-token']), at: Date.now() }
    const previous = this.scaleOrders.at(-1)
    if (previous !== undefined && (order.fence < previous.fence || (order.fence === previous.fence && order.holder !== previous.holder))) this.violations.push(`${order.holder} ordered targets with fencing token ${order.fence} after ${previous.holder} had used ${previous.fence}`)
    const status = this.onScale(order)
    this.scaleOrders.push({ ...order, status })
    return status
  }

  private exceedsRateLimit (): boolean {
    const now = Date.now()
    while ((this.callTimes[0] ?? now) < now - 1000) this.callTimes.shift()
    this.callTimes.push(now)
    return this.callTimes.length > MAX_CALLS_PER_SECOND
  }

  private checkReport (report: UsageReport): void {
    const { window, holder, fence, at } = report
    const earlier = this.reports.find((other) => other.window === window)
    if (earlier !== undefined && JSON.stringify(earlier.counts) !== JSON.stringify(report.counts)) this.violations.push(`window ${window} was reported twice with different counts`)
    const previous = this.reports.at(-1)
    if (previous !== undefined && (fence < previous.fence || (fence === previous.fence && holder !== previous.holder))) this.violations.push(`${holder} used fencing token ${fence} after ${previous.holder} had used ${previous.fence}`)
    const lastOfOtherHolder = this.reports.findLastIndex((other) => other.holder !== holder)
    const earlierOfSameHolder = this.reports.slice(0, Math.max(0, lastOfOtherHolder)).findLast((other) => other.holder === holder)
    if (lastOfOtherHolder === this.reports.length - 1 && earlierOfSameHolder !== undefined && at - earlierOfSameHolder.at < LEASE_MS) this.violations.push(`${holder} acted again after ${at - earlierOfSameHolder.at} ms, although another holder had acted in between`)
    this.reports.push(report)
  }
}
