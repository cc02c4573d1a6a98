/**
 * Moves engines to the versions that trainers name. Only the holder of the duty orders, and only
 * while it surely is alone; each order names the number of orders that the engine must have accepted
 * before, so that one that is carried out late, after a newer one, is refused by the engine itself.
 */

import type { Disposable } from '../../../base/common/lifecycle.ts'
import { DisposableStore } from '../../../base/common/lifecycle.ts'
import type { Result } from '../../../base/common/resultCode.ts'
import type { Assignment } from '../../../core/common/weights/engineAssignment.ts'
import { assignEngines } from '../../../core/common/weights/engineAssignment.ts'
import type { ModelDemand, PlannedLoad } from '../../../core/common/weights/loadPlan.ts'
import { maxParallelLoads, planLoads } from '../../../core/common/weights/loadPlan.ts'
import type { Mechanisms } from '../../../core/common/mechanisms.ts'
import type { Clock } from '../../../ports/common/clock.ts'
import { pause } from '../../../ports/common/clock.ts'
import type { Metrics, StateLog } from '../../../ports/common/observation.ts'
import type { EngineState, OrderVerdict, SwapMode, TargetProtocol } from '../../../ports/common/protocols.ts'
import type { TargetAnswer, TargetClient, TargetRequest } from '../../../ports/common/targetClient.ts'
import type { DutyKeeper } from '../duties/dutyKeeper.ts'
import type { Engine, EngineBoard } from '../steps/engineBoard.ts'

/** A model's demand with the work it brings, how its runs are treated by a load, and what log lines tell of it. */
export interface ModelWork extends ModelDemand {
  /** Time since the version was named, in milliseconds. */
  readonly namedAgeMs: number
  /** Items that wait for a slot. */
  readonly waiting: number
  readonly work: number
  readonly mode: SwapMode
}

export interface EngineOrderServices {
  readonly board: EngineBoard
  readonly duty: Pick<DutyKeeper, 'alone' | 'holds' | 'term' | 'onChange'>
  readonly client: TargetClient
  readonly protocol: TargetProtocol
  readonly clock: Clock
  readonly metrics: Metrics
  readonly stateLog: StateLog
  readonly machine: string
  /** Models with a named version, and what they need. */
  readonly demands: () => readonly ModelWork[]
  /** Called when an engine can take more than before. */
  readonly onReady: () => void
  readonly mechanisms: Pick<Mechanisms, 'loads_at_once'>
}

/** Time between two looks, in milliseconds. */
const LOOK_MS = 50
/** Longest wait for an engine's answer to an order or a question, in milliseconds. */
const ANSWER_MS = 600
/** Time for a report after which its connection is taken for silent, in milliseconds: a hundred times the usual one. */
const REPORT_LATE_MS = 200
/** Usual time of a load, in milliseconds: no look is worth its price before. */
const LOAD_MS = 850
/** Time between looks at an engine that loads, in milliseconds: its reports are some hundred milliseconds old anyway. */
const REPORT_MS = 120
/** Longest load that is waited for, in milliseconds: several times the usual one, as loads slow each other. */
const LONGEST_LOAD_MS = 5000
/** Time after which a version is loaded though items wait, where versions are not loaded at once, in milliseconds: the next step may not use the version before. */
const LONGEST_WAIT_MS = 1500
/** Pause after an order that an engine refused or left unanswered, in milliseconds. */
const PAUSE_MS = 300

export class EngineOrders implements Disposable {
  private readonly disposables = new DisposableStore()
  private assignment: Assignment = new Map()
  /** Present while this host holds the duty. */
  private timer: Disposable | undefined

  constructor (private readonly services: EngineOrderServices) {
    this.disposables.add(services.duty.onChange(() => {
      this.timer?.dispose()
      this.timer = services.duty.holds ? services.clock.every(LOOK_MS, () => { this.look() }) : undefined
    }))
  }

  /** Model that an engine follows. */
  follows (engine: string): string | undefined {
    return this.assignment.get(engine)
  }

  dispose (): void {
    this.timer?.dispose()
    this.disposables.dispose()
  }

  private look (): void {
    const { board, duty, demands, mechanisms } = this.services
    if (!duty.alone) return
    const wanted = demands()
    if (wanted.length === 0) return
    const engines = board.all()
    this.assign(engines, wanted)
    const loads = planLoads(engines.map((engine) => {
      const follows = this.assignment.get(engine.id)
      return {
        id: engine.id,
        follows,
        version: follows === undefined ? 0 : engine.version(follows),
        running: engine.running,
        slots: engine.target.definition.slots,
        ordering: engine.order !== undefined,
        suspect: engine.suspect
      }
    }), mechanisms.loads_at_once ? wanted : wanted.filter(({ waiting, namedAgeMs }) => waiting === 0 || namedAgeMs > LONGEST_WAIT_MS), maxParallelLoads(engines.length))
    for (const load of loads) this.begin(load, engines, wanted)
  }

  private assign (engines: readonly Engine[], wanted: readonly ModelWork[]): void {
    const next = assignEngines(engines.map((engine) => ({
      id: engine.id,
      place: engine.target.definition.place,
      versions: new Map(engine.target.definition.models.map(({ model }) => [model, engine.version(model)]))
    })), wanted, this.assignment)
    for (const [engine, model] of next) {
      if (this.assignment.get(engine) !== model) this.services.stateLog.decided('engine assigned', { engine, model, former: this.assignment.get(engine) ?? '', engines: engines.length })
    }
    this.assignment = next
  }

  private begin (load: PlannedLoad, engines: readonly Engine[], wanted: readonly ModelWork[]): void {
    const engine = engines.find(({ id }) => id === load.engine)
    const demand = wanted.find(({ model }) => model === load.model)
    if (engine === undefined || demand === undefined) return
    engine.order = { model: load.model, version: load.version, sinceMs: this.services.clock.monotonic() }
    this.services.stateLog.decided('load begins', { engine: load.engine, model: load.model, version: load.version, former: engine.version(load.model), running: engine.running, waiting: demand.waiting, namedAgeMs: Math.round(demand.namedAgeMs), minimumVersion: demand.minimumVersion })
    this.load(engine, load, demand.mode)
      .catch((error: unknown) => { this.services.stateLog.alarm('load failed', { engine: load.engine, error: String(error) }) })
      .finally(() => {
        engine.order = undefined
        this.services.onReady()
      })
  }

  private async load (engine: Engine, load: PlannedLoad, mode: SwapMode): Promise<void> {
    const began = this.services.clock.monotonic()
    const before = await this.stateWithoutOrder(engine, load, began)
    if (before === undefined || engine.target.isOver || !this.services.duty.alone) return
    const verdict = await this.order(engine, load, mode, before.sequence)
    if (verdict === 'in-progress') {
      await pause(this.services.clock, LOAD_MS)
      await this.awaitVersion(engine, load, began)
    } else if (verdict === 'holds') {
      engine.learnVersion(load)
    } else {
      this.services.metrics.count('orders.not_taken')
      this.services.stateLog.decided('order not taken', { engine: load.engine, model: load.model, version: load.version, verdict })
      await pause(this.services.clock, PAUSE_MS)
    }
  }

  /**
   * What an engine reports once no order is under way there; `undefined` if it needs none any more or
   * does not answer. A report that shows an order is no reason to wait for the version: the order may
   * be a former one that has ended since, as reports are some hundred milliseconds old. Waiting for
   * the version then kept an engine from all items for five seconds.
   */
  private async stateWithoutOrder (engine: Engine, load: PlannedLoad, began: number): Promise<EngineState | undefined> {
    const { clock, duty } = this.services
    while (duty.holds && !engine.target.isOver && clock.monotonic() - began < LONGEST_LOAD_MS) {
      const state = await this.report(engine)
      if (!state.ok) return undefined
      if (!this.learn(engine, state.value)) {
        await pause(this.services.clock, REPORT_MS)
        continue
      }
      if (engine.version(load.model) >= load.version) return undefined
      if (!state.value.ordering) return state.value
      await pause(this.services.clock, REPORT_MS)
    }
    return undefined
  }

  private async order (engine: Engine, load: PlannedLoad, mode: SwapMode, ifSequence: number): Promise<OrderVerdict | 'no-answer'> {
    const { protocol, duty, machine, metrics } = this.services
    const message = protocol.order({ named: { model: load.model, version: load.version }, mode, holder: machine, term: duty.term, ifSequence })
    metrics.count('orders.sent')
    const answer = await this.exchange(engine, { method: 'POST', path: message.path, headers: message.headers(engine.id), body: new TextEncoder().encode(message.body) }, ANSWER_MS)
    return answer.ok ? protocol.orderVerdict(answer.value.status) : 'no-answer'
  }

  /** Waits until the engine reports the version, or no order any more. */
  private async awaitVersion (engine: Engine, load: PlannedLoad, began: number): Promise<void> {
    const { clock, duty, stateLog } = this.services
    while (duty.holds && !engine.target.isOver && clock.monotonic() - began < LONGEST_LOAD_MS) {
      const state = await this.report(engine)
      if (!state.ok && engine.target.suspect) return
      if (state.ok && this.learn(engine, state.value)) {
        if (engine.version(load.model) >= load.version) {
          return stateLog.decided('load ended', { engine: load.engine, model: load.model, version: load.version, tookMs: Math.round(clock.monotonic() - began) })
        }
      }
      await pause(this.services.clock, REPORT_MS)
    }
    stateLog.decided('load not seen to end', { engine: load.engine, model: load.model, version: load.version, tookMs: Math.round(clock.monotonic() - began) })
  }

  /**
   * Learns from a report of the engine's present life; false for one of another life. Taken for the
   * same, the order of a former life would pass for done, or be waited for until `LONGEST_LOAD_MS`.
   */
  private learn (engine: Engine, { incarnation, models }: EngineState): boolean {
    if (this.services.board.tell(engine, incarnation, models) !== 'same') return false
    for (const version of models) engine.learnVersion(version)
    return true
  }

  private async report (engine: Engine): Promise<Result<EngineState>> {
    const { protocol, metrics } = this.services
    const question = { method: 'GET', path: protocol.reportPath, headers: protocol.reportHeaders(engine.target.definition.id), body: undefined }
    metrics.count('orders.reports')
    let answer = await this.exchange(engine, question, REPORT_LATE_MS)
    if (!answer.ok && answer.code !== 'targetUnreachable') {
      // The connection may be silent, not the engine: reports went into one silent connection after the other, and the engine was neither loaded nor given items.
      metrics.count('orders.reports')
      answer = await this.exchange(engine, question, ANSWER_MS)
    }
    if (!answer.ok) {
      engine.target.failed()
      return answer
    }
    return protocol.report(answer.value.status, new TextDecoder().decode(answer.value.body))
  }

  /** Asks an engine; without an answer in time the kept connections to it are put aside. */
  private async exchange (engine: Engine, message: Pick<TargetRequest, 'method' | 'path' | 'headers' | 'body'>, limitMs: number): Promise<Result<TargetAnswer>> {
    const { client, clock } = this.services
    const { address } = engine.target.definition
    const limit = new AbortController()
    const timer = clock.after(limitMs, () => { limit.abort() })
    const answer = await client.exchange({ ...message, address, ownConnection: false, signal: limit.signal })
    timer.dispose()
    if (limit.signal.aborted) client.distrust(address, limitMs)
    return answer
  }
}
