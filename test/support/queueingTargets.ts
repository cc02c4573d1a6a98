/** Targets with slots and a bounded queue, on a clock that the test advances. They record which requests they ran. */

import { failure, success } from '../../src/base/common/resultCode.ts'
import type { Result } from '../../src/base/common/resultCode.ts'
import type { Clock } from '../../src/ports/common/clock.ts'
import type { Listening, TargetClient, TargetRequest, TargetResponse, TargetStream } from '../../src/ports/common/targetClient.ts'

export interface QueueingTargetOptions {
  readonly slots: number
  /** Requests that wait at the target beyond those that run; further ones are refused. */
  readonly queue: number
  readonly workMs: number
}

interface Job {
  readonly id: string
  readonly answer: (response: TargetResponse) => void
  readonly breakConnection: () => void
}

/** One way of the network. */
const NETWORK_MS = 1

class QueueingTarget {
  private running = 0
  private readonly waiting: Job[] = []
  /** Ids of the requests that ran, in order. */
  readonly ran: string[] = []
  /** Number of requests that were refused. */
  refusals = 0
  /** Refuses all requests, like a target that is about to leave. */
  refusesAll = false
  /** Returns whether a request is refused whatever the load, like one that is larger than the target's memory. */
  refusesRequest: (id: string) => boolean = () => false
  private readonly jobs = new Set<Job>()

  constructor (private readonly clock: Clock, private readonly options: QueueingTargetOptions) {}

  /** Breaks the connections of the requests that run; these go on running. */
  breakConnections (): void {
    for (const job of this.jobs) job.breakConnection()
  }

  receive (job: Job): void {
    const { slots, queue } = this.options
    if (this.refusesAll || this.refusesRequest(job.id) || this.running + this.waiting.length >= slots + queue) {
      this.refusals++
      job.answer(this.response(job.id, 503, { 'bulrushvalve-not-run': '1' }))
      return
    }
    this.waiting.push(job)
    this.startJobs()
  }

  private startJobs (): void {
    while (this.running < this.options.slots) {
      const job = this.waiting.shift()
      if (job === undefined) return
      this.running++
      this.ran.push(job.id)
      this.jobs.add(job)
      this.clock.after(this.options.workMs, () => {
        this.running--
        this.jobs.delete(job)
        this.startJobs()
        job.answer(this.response(job.id, 200, { 'bulrushvalve-response-seal': 's' }))
      })
    }
  }

  private response (id: string, status: number, headers: Record<string, string>): TargetResponse {
    return { status, headers: { 'bulrushvalve-request-id': id, 'bulrushvalve-server-load': `${this.running},${this.waiting.length},${this.options.slots}`, ...headers }, body: new Uint8Array() }
  }
}

export class QueueingTargets implements TargetClient {
  readonly targets = new Map<string, QueueingTarget>()

  constructor (private readonly clock: Clock, private readonly options: Readonly<Record<string, QueueingTargetOptions>>) {
    for (const [address, targetOptions] of Object.entries(options)) this.targets.set(address, new QueueingTarget(clock, targetOptions))
  }

  /** Ids of the requests that ran at any target. */
  get ran (): string[] {
    return [...this.targets.values()].flatMap(({ ran }) => ran)
  }

  target (address: string): QueueingTarget {
    const target = this.targets.get(address)
    if (target === undefined) throw new Error(`no target ${address} among ${Object.keys(this.options).join(' ')}`)
    return target
  }

  async exchange ({ address, headers, signal }: TargetRequest): Promise<Result<TargetResponse>> {
    const id = headers[headers.indexOf('bulrushvalve-request-id') + 1] ?? ''
    return await new Promise((resolve) => {
      signal.addEventListener('abort', () => { resolve(failure('unknownOutcome', 'aborted')) }, { once: true })
      this.clock.after(NETWORK_MS, () => {
        if (signal.aborted) return
        this.target(address).receive({ id, answer: (response) => { this.clock.after(NETWORK_MS, () => { resolve(success(response)) }) }, breakConnection: () => { resolve(failure('unknownOutcome', 'connection reset')) } })
      })
    })
  }

  async open (): Promise<Result<TargetStream>> {
    return failure('targetUnreachable', 'these targets answer no streams')
  }

  async listens (): Promise<Listening> {
    return 'yes'
  }

  retireConnections (): void {}
}
