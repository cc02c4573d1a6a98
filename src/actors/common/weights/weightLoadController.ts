/**
 * Orders engines to load the model versions that trainers name. Only the holder of the duty sends orders, and only while its
 * lease guarantees that it is the only one. Each order contains, as a precondition, the number of orders that the engine must
 * have accepted before, so that the engine itself refuses an order that arrives late, after a newer one.
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
import type { TargetResponse, TargetClient, TargetRequest } from '../../../ports/common/targetClient.ts'
import type { DutyLeaseManager } from '../duties/dutyLeaseManager.ts'
import type { Engine, EngineRegistry } from '../steps/engineRegistry.ts'

/** A model's demand with its amount of work, the way a load treats active runs, and figures for log lines. */
export interface ModelLoadDemand extends ModelDemand {
  /** Time since the trainer named the version, in milliseconds. */
  readonly namedAgeMs: number
  /** Number of items that wait for a slot. */
  readonly waiting: number
  readonly work: number
  readonly mode: SwapMode
}

export interface WeightLoadControllerServices {
  readonly board: EngineRegistry
  readonly duty: Pick<DutyLeaseManager, 'alone' | 'holds' | 'term' | 'onChange'>
  readonly client: TargetClient
  readonly protocol: TargetProtocol
  readonly clock: Clock
  readonly metrics: Metrics
  readonly stateLog: StateLog
  readonly machine: string
  /** Returns the demands of all configured models. */
  readonly demands: () => readonly ModelLoadDemand[]
  /** Called when a load ends, after which the engine may accept more items. */
  readonly onEngineAvailable: () => void
  readonly mechanisms: Pick<Mechanisms, 'loads_at_once'>
}

/** Interval at which the engines are compared with the demands. */
const CHECK_INTERVAL_MS = 50
/** Time limit for an engine's response to an order or to a repeated report request. */
const RESPONSE_TIMEOUT_MS = 600
/** A hundred times the usual duration. After this time, the connection is assumed to be dead. */
const REPORT_TIMEOUT_MS = 200
/** Largest report, or answer to an order, that is read. A report lists some models and the runs of an engine. */
const MAX_REPORT_BYTES = 1_048_576
/** Usual duration of a load. A report before that time is not worth its cost. */
const EXPECTED_LOAD_MS = 850
/** Interval of report requests to a loading engine. Its reports are some hundred milliseconds old anyway. */
const REPORT_INTERVAL_MS = 120
/** Several times the usual duration, as concurrent loads slow each other down. */
const LOAD_TIMEOUT_MS = 5000
/** With `loads_at_once` off, a version is loaded after this time even if items wait, as the next step may not accept the previous version. */
const MAX_LOAD_DELAY_MS = 1500
/** Delay after an order that an engine refused or did not answer. */
const RETRY_DELAY_MS = 300

export class WeightLoadController implements Disposable {
  private readonly disposables = new DisposableStore()
  private assignment: Assignment = new Map()
  /** Defined while this host holds the duty. */
  private timer: Disposable | undefined

  constructor (private readonly services: WeightLoadControllerServices) {
    this.disposables.add(services.duty.onChange(() => {
      this.timer?.dispose()
      this.timer = services.duty.holds ? services.clock.every(CHECK_INTERVAL_MS, () => { this.checkEngines() }) : undefined
    }))
  }

  /** Returns the model that an engine is assigned to. */
  assignedModel (engine: string): string | undefined {
    return this.assignment.get(engine)
  }

  dispose (): void {
    this.timer?.dispose()
    this.disposables.dispose()
  }

  private checkEngines (): void {
    const { board, duty, demands, mechanisms } = this.services
    if (!duty.alone) return
    const modelDemands = demands()
    if (modelDemands.length === 0) return
    const engines = board.all()
    this.assignModels(engines, modelDemands)
    const loads = planLoads(engines.map((engine) => {
      const assigned = this.assignment.get(engine.id)
      return {
        id: engine.id,
        follows: assigned,
        version: assigned === undefined ? 0 : engine.version(assigned),
        running: engine.running,
        slots: engine.target.definition.slots,
        ordering: engine.order !== undefined,
        suspect: engine.suspect
      }
    }), mechanisms.loads_at_once ? modelDemands : modelDemands.filter(({ waiting, namedAgeMs }) => waiting === 0 || namedAgeMs > MAX_LOAD_DELAY_MS), maxParallelLoads(engines.length))
    for (const load of loads) this.startLoad(load, engines, modelDemands)
  }

  private assignModels (engines: readonly Engine[], modelDemands: readonly ModelLoadDemand[]): void {
    const assignment = assignEngines(engines.map((engine) => ({
      id: engine.id,
      place: engine.target.definition.place,
      versions: new Map(engine.target.definition.models.map(({ model }) => [model, engine.version(model)]))
    })), modelDemands, this.assignment)
    for (const [engine, model] of assignment) {
      if (this.assignment.get(engine) !== model) this.services.stateLog.decided('engine assigned', { engine, model, former: this.assignment.get(engine) ?? '', engines: engines.length })
    }
    this.assignment = assignment
  }

  private startLoad (load: PlannedLoad, engines: readonly Engine[], modelDemands: readonly ModelLoadDemand[]): void {
    const engine = engines.find(({ id }) => id === load.engine)
    const demand = modelDemands.find(({ model }) => model === load.model)
    if (engine === undefined || demand === undefined) return
    engine.order = { model: load.model, version: load.version, startedAtMs: this.services.clock.monotonic() }
    this.services.stateLog.decided('load begins', { engine: load.engine, model: load.model, version: load.version, former: engine.version(load.model), running: engine.running, waiting: demand.waiting, namedAgeMs: Math.round(demand.namedAgeMs), minimumVersion: demand.minimumVersion })
    this.loadVersion(engine, load, demand.mode)
      .catch((error: unknown) => { this.services.stateLog.alarm('load failed', { engine: load.engine, error: String(error) }) })
      .finally(() => {
        engine.order = undefined
        this.services.onEngineAvailable()
      })
  }

  private async loadVersion (engine: Engine, load: PlannedLoad, mode: SwapMode): Promise<void> {
    const startedAt = this.services.clock.monotonic()
    const idleState = await this.stateWhenIdle(engine, load, startedAt)
    if (idleState === undefined || engine.target.isSuperseded || !this.services.duty.alone) return
    const verdict = await this.sendOrder(engine, load, mode, idleState.sequence)
    if (verdict === 'in-progress') {
      await pause(this.services.clock, EXPECTED_LOAD_MS)
      await this.awaitVersion(engine, load, startedAt)
    } else if (verdict === 'holds') {
      engine.recordVersion(load)
    } else {
      this.services.metrics.count('orders.not_taken')
      this.services.stateLog.decided('order not taken', { engine: load.engine, model: load.model, version: load.version, verdict })
      await pause(this.services.clock, RETRY_DELAY_MS)
    }
  }

  /**
   * Returns the engine's report once it shows no active order; `undefined` if the engine needs no load any more or does
   * not answer. A report with an active order does not mean that the version is being loaded: reports are some hundred
   * milliseconds old, and the order may be an earlier one that has ended. Waiting for the version in that case kept an
   * engine from all items for five seconds.
   */
  private async stateWhenIdle (engine: Engine, load: PlannedLoad, startedAt: number): Promise<EngineState | undefined> {
    const { clock, duty } = this.services
    while (duty.holds && !engine.target.isSuperseded && clock.monotonic() - startedAt < LOAD_TIMEOUT_MS) {
      const state = await this.requestReport(engine)
      if (!state.ok) return undefined
      if (!this.applyReport(engine, state.value)) {
        await pause(this.services.clock, REPORT_INTERVAL_MS)
        continue
      }
      if (engine.version(load.model) >= load.version) return undefined
      if (!state.value.hasOrderInProgress) return state.value
      await pause(this.services.clock, REPORT_INTERVAL_MS)
    }
    return undefined
  }

  private async sendOrder (engine: Engine, load: PlannedLoad, mode: SwapMode, ifSequence: number): Promise<OrderVerdict | 'no-answer'> {
    const { protocol, duty, machine, metrics } = this.services
    const message = protocol.order({ named: { model: load.model, version: load.version }, mode, holder: machine, term: duty.term, expectedSequence: ifSequence })
    metrics.count('orders.sent')
    const answer = await this.exchange(engine, { method: 'POST', path: message.path, headers: message.headers(engine.id), body: new TextEncoder().encode(message.body) }, RESPONSE_TIMEOUT_MS)
    return answer.ok ? protocol.orderVerdict(answer.value.status) : 'no-answer'
  }

  /** Waits until the engine reports the version, becomes suspect, or the time limit is reached. */
  private async awaitVersion (engine: Engine, load: PlannedLoad, startedAt: number): Promise<void> {
    const { clock, duty, stateLog } = this.services
    while (duty.holds && !engine.target.isSuperseded && clock.monotonic() - startedAt < LOAD_TIMEOUT_MS) {
      const state = await this.requestReport(engine)
      if (!state.ok && engine.target.suspect) return
      if (state.ok && this.applyReport(engine, state.value)) {
        if (engine.version(load.model) >= load.version) {
          return stateLog.decided('load ended', { engine: load.engine, model: load.model, version: load.version, tookMs: Math.round(clock.monotonic() - startedAt) })
        }
      }
      await pause(this.services.clock, REPORT_INTERVAL_MS)
    }
    stateLog.decided('load not seen to end', { engine: load.engine, model: load.model, version: load.version, tookMs: Math.round(clock.monotonic() - startedAt) })
  }

  /**
   * Applies a report if it is of the engine's current incarnation, and returns false otherwise. If another incarnation were
   * taken for the current one, an order to an earlier incarnation would count as done, or be awaited until `LOAD_TIMEOUT_MS`.
   */
  private applyReport (engine: Engine, { incarnation, models, memoryTokens }: EngineState): boolean {
    if (this.services.board.applyReport(engine, incarnation, models) !== 'same') return false
    for (const version of models) engine.recordVersion(version)
    engine.memoryTokens = memoryTokens
    return true
  }

  private async requestReport (engine: Engine): Promise<Result<EngineState>> {
    const { protocol, metrics } = this.services
    const request = { method: 'GET', path: protocol.reportPath, headers: protocol.reportHeaders(engine.target.definition.id), body: undefined }
    metrics.count('orders.reports')
    let answer = await this.exchange(engine, request, REPORT_TIMEOUT_MS)
    if (!answer.ok && answer.code !== 'targetUnreachable') {
      // The connection may be dead, not the engine. Without a second attempt, requests went to one dead connection after the other, and the engine received neither loads nor items.
      metrics.count('orders.reports')
      answer = await this.exchange(engine, request, RESPONSE_TIMEOUT_MS)
    }
    if (!answer.ok) {
      engine.target.recordFailure()
      return answer
    }
    return protocol.report(answer.value.status, new TextDecoder().decode(answer.value.body))
  }

  /** Sends a request to an engine. After a time-out, the pooled connections to the engine are no longer reused. */
  private async exchange (engine: Engine, message: Pick<TargetRequest, 'method' | 'path' | 'headers' | 'body'>, timeoutMs: number): Promise<Result<TargetResponse>> {
    const { client, clock } = this.services
    const { definition: { address }, keepsIdle } = engine.target
    const timeout = new AbortController()
    const timer = clock.after(timeoutMs, () => { timeout.abort() })
    const answer = await client.exchange({ ...message, address, ownConnection: false, keepsIdle, maximumAnswerBytes: MAX_REPORT_BYTES, signal: timeout.signal })
    timer.dispose()
    if (timeout.signal.aborted) client.retireConnections(address, timeoutMs)
    return answer
  }
}
