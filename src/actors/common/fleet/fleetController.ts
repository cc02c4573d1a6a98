/**
 * Orders rented targets while this host certainly is the only holder of the duty: compares what the open steps need with the
 * registered targets and sends the difference to the platform as absolute numbers. All state is in memory. A new holder
 * starts from the registered targets and gives up none until orders of the former holder must have taken effect.
 */

import type { Disposable } from '../../../base/common/lifecycle.ts'
import { DisposableStore } from '../../../base/common/lifecycle.ts'
import { resultCodes } from '../../../base/common/resultCode.ts'
import type { FleetCounts } from '../../../core/common/fleet/cheapestFleet.ts'
import { FleetDemand } from '../../../core/common/fleet/fleetDemand.ts'
import type { FleetOrder, FleetPlan, OutstandingOrder } from '../../../core/common/fleet/fleetPlan.ts'
import { isSettled, ORDER_EFFECT_MARGIN_MS, planFleet } from '../../../core/common/fleet/fleetPlan.ts'
import type { EngineDefinition, FleetBounds, RouteTable, ServiceScaling } from '../../../core/common/routes/routeConfiguration.ts'
import type { Rental, TargetDefinition } from '../../../core/common/routes/target.ts'
import type { Clock, RandomSource } from '../../../ports/common/clock.ts'
import type { Metrics, StateLog } from '../../../ports/common/observation.ts'
import type { PlatformDuties, ScaleVerdict } from '../../../ports/common/platformDuties.ts'
import type { DutyLeaseManager } from '../duties/dutyLeaseManager.ts'

export interface FleetControllerServices {
  readonly duty: Pick<DutyLeaseManager, 'alone' | 'holds' | 'term' | 'onChange'>
  readonly duties: Pick<PlatformDuties, 'scaleService'>
  readonly routes: () => RouteTable | undefined
  /** Returns the registered targets of a service that do not drain. */
  readonly targets: (service: string) => readonly TargetDefinition[]
  /** Whether the registered targets are known: during an outage of the store, they are not. */
  readonly isRegistryCurrent: () => boolean
  /** Returns the failure domains in which hosts or targets are known. */
  readonly knownPlaces: () => Iterable<string>
  /** Returns the slots that open steps need, by service; the value is `undefined` where it is not known yet. */
  readonly demands: () => ReadonlyMap<string, number | undefined>
  readonly clock: Clock
  readonly chance: RandomSource
  readonly metrics: Metrics
  readonly stateLog: StateLog
  /** Machine of this host, which is the name of the duty holder. */
  readonly machine: string
  /** Monotonic time at which this host started. */
  readonly startedAtMs: number
}

const CHECK_INTERVAL_MS = 250
/**
 * Time after the start of this host before it orders targets. The entries of targets that start together with the hosts arrive
 * over a few heartbeats, and an order in between would be for targets that are about to register.
 */
const REGISTRATION_PERIOD_MS = 5000
/** Keeps the orders of one check well below the platform's limit of 50 calls per second for all duties. */
const MAX_ORDERS_PER_CHECK = 6
/** Initial pause after an order that was refused for now or not answered; it doubles with each further one, with jitter between half and all of it. */
const INITIAL_RETRY_DELAY_MS = 250
const MAX_RETRY_DELAY_MS = 4000
/** Initial time for which a kind of target counts as unavailable in a failure domain; it doubles with each further refusal. */
const INITIAL_EXCLUSION_MS = 2000
const MAX_EXCLUSION_MS = 8000
/** Time after a takeover until a failure domain without a known host or target is reported: the other hosts become known one by one. */
const PLACES_KNOWN_AFTER_MS = 5000
/** A shortage seems to end whenever an exclusion does, so its lines are limited by time. */
const SHORTAGE_LOG_INTERVAL_MS = 10_000

interface Exclusion {
  readonly place: string
  readonly rental: Rental
  readonly untilMs: number
  readonly durationMs: number
}

/** What this holder knows of the fleet of one service. */
interface FleetState {
  readonly demand: FleetDemand
  readonly outstanding: Map<string, OutstandingOrder>
  readonly exclusions: Map<string, Exclusion>
  /** Registered targets at the last check, and the time at which their number last grew. */
  present: ReadonlyMap<string, FleetCounts>
  grownAtMs: number
  readonly reducedAtMs: Map<string, number>
  shortageLoggedAtMs: number
  plan: FleetPlan | undefined
}

interface ScaledService {
  readonly name: string
  readonly engine: EngineDefinition
  readonly bounds: FleetBounds
}

function newFleetState (): FleetState {
  return { demand: new FleetDemand(), outstanding: new Map(), exclusions: new Map(), present: new Map(), grownAtMs: Number.NEGATIVE_INFINITY, reducedAtMs: new Map(), shortageLoggedAtMs: Number.NEGATIVE_INFINITY, plan: undefined }
}

function pairKey ({ place, rental }: { readonly place: string, readonly rental: Rental }): string {
  return `${rental} ${place}`
}

export class FleetController implements Disposable {
  private readonly disposables = new DisposableStore()
  /** By service; replaced with each change of the duty, so that an answer that arrives later changes nothing. */
  private fleets = new Map<string, FleetState>()
  private readonly reported = new Set<string>()
  private readonly places = new Set<string>()
  /** Defined while this host holds the duty. */
  private timer: Disposable | undefined
  private heldSinceMs = 0
  private isOrdering = false
  private failures = 0
  private pausedUntilMs = Number.NEGATIVE_INFINITY

  constructor (private readonly services: FleetControllerServices) {
    this.disposables.add(services.duty.onChange(() => { this.handleDutyChange() }))
  }

  dispose (): void {
    this.timer?.dispose()
    this.timer = undefined
    this.disposables.dispose()
  }

  private handleDutyChange (): void {
    const { duty, clock } = this.services
    this.timer?.dispose()
    this.fleets = new Map()
    this.heldSinceMs = clock.monotonic()
    this.updateGauges()
    this.timer = duty.holds ? clock.every(CHECK_INTERVAL_MS, () => { this.check() }) : undefined
  }

  private check (): void {
    const services = this.scaledServices()
    for (const name of this.fleets.keys()) if (!services.some((service) => service.name === name)) this.fleets.delete(name)
    this.recordDemands(services)
    for (const service of services) this.updatePlan(service)
    this.updateGauges()
    if (this.isOrdering || !this.mayOrder()) return
    this.isOrdering = true
    this.sendOrders(services)
      .catch((error: unknown) => { this.services.stateLog.alarm('fleet not checked', { error: String(error) }) })
      .finally(() => { this.isOrdering = false })
  }

  private mayOrder (): boolean {
    const { duty, clock, isRegistryCurrent, startedAtMs } = this.services
    return this.timer !== undefined && duty.alone && isRegistryCurrent() && clock.monotonic() >= Math.max(this.pausedUntilMs, startedAtMs + REGISTRATION_PERIOD_MS)
  }

  /** Returns the services whose targets may be ordered. The demand of other services than engines is not known, so their targets are left alone. */
  private scaledServices (): ScaledService[] {
    for (const place of this.services.knownPlaces()) this.places.add(place)
    return (this.services.routes()?.engineServices() ?? []).flatMap(({ name, engine, scaling }): ScaledService[] => {
      const bounds = scaling === undefined ? undefined : this.usableBounds(name, scaling)
      return bounds === undefined || engine === undefined || engine.slots < 1 ? [] : [{ name, engine, bounds }]
    })
  }

  private usableBounds (service: string, scaling: ServiceScaling): FleetBounds | undefined {
    switch (scaling.type) {
      case 'unreadable':
        this.reportUnreadable(service, scaling.error)
        return undefined
      case 'bounded': return this.hasKnownPlaces(service, scaling.bounds) ? scaling.bounds : undefined
    }
  }

  private hasKnownPlaces (service: string, { prices }: FleetBounds): boolean {
    const unknown = [...prices.keys()].filter((place) => !this.places.has(place))
    if (unknown.length === 0) return true
    if (this.services.clock.monotonic() - this.heldSinceMs >= PLACES_KNOWN_AFTER_MS) this.reportUnreadable(service, `unknown failure domains: ${unknown.join(', ')}`)
    return false
  }

  /** Reports a record once for each service. */
  private reportUnreadable (service: string, error: string): void {
    const version = this.services.routes()?.version ?? 0
    const key = `${version} ${service}`
    if (this.reported.has(key)) return
    this.reported.add(key)
    this.services.stateLog.alarm('scaling of a service cannot be read', { service, version, code: resultCodes.scalingUnreadable.number, error })
  }

  private recordDemands (services: readonly ScaledService[]): void {
    const demands = this.services.demands()
    const now = this.services.clock.monotonic()
    for (const { name } of services) this.fleetOf(name).demand.record(demands.has(name) ? demands.get(name) : 0, now)
  }

  /** Plans anew with the present knowledge; `undefined` while the registered targets are not known. */
  private updatePlan ({ name, engine, bounds }: ScaledService): FleetPlan | undefined {
    const fleet = this.fleetOf(name)
    const now = this.services.clock.monotonic()
    if (!this.services.isRegistryCurrent()) {
      // A surplus must be seen to last.
      fleet.grownAtMs = now
      return undefined
    }
    const present = countTargets(this.services.targets(name))
    if (hasGrown(fleet.present, present)) fleet.grownAtMs = now
    fleet.present = present
    for (const [key, order] of fleet.outstanding) if (isSettled(order, present)) fleet.outstanding.delete(key)
    const plan = planFleet({
      nowMs: now,
      bounds,
      slotsPerTarget: engine.slots,
      models: engine.models.length,
      demand: fleet.demand.current(now),
      largestDemand: fleet.demand.largest(now),
      present,
      outstanding: [...fleet.outstanding.values()],
      unavailable: [...fleet.exclusions.values()],
      grownAtMs: fleet.grownAtMs,
      reducedAtMs: fleet.reducedAtMs,
      reductionsFromMs: this.heldSinceMs + bounds.bootMs + ORDER_EFFECT_MARGIN_MS
    })
    fleet.plan = plan
    this.logShortage(name, fleet, plan)
    return plan
  }

  /** Sends one order at a time, as its outcome may change the following ones. */
  private async sendOrders (services: readonly ScaledService[]): Promise<void> {
    let sent = 0
    for (const service of services) {
      const fleet = this.fleetOf(service.name)
      while (sent < MAX_ORDERS_PER_CHECK && this.mayOrder() && this.fleets.get(service.name) === fleet) {
        // The check has just planned with the same knowledge; it changes with the first order.
        const order = (sent === 0 ? fleet.plan : this.updatePlan(service))?.orders[0]
        if (order === undefined) break
        await this.send(service.name, fleet, order)
        sent++
      }
    }
  }

  private async send (service: string, fleet: FleetState, order: FleetOrder): Promise<void> {
    const { duties, duty, metrics, stateLog, clock, machine } = this.services
    const { place, rental, count, former, why } = order
    const { term } = duty
    const sentAtMs = clock.monotonic()
    metrics.count('fleet.orders')
    // Recorded before the answer: a check that runs meanwhile counts the order as one that may take effect.
    const known = fleet.outstanding.get(pairKey(order))
    const countBefore = why === 'again' && known?.count === count ? Math.min(known.countBefore, former) : former
    fleet.outstanding.set(pairKey(order), { place, rental, count, countBefore, sentAtMs, confirmed: false })
    if (why === 'surplus') fleet.reducedAtMs.set(place, sentAtMs)
    const verdict = await duties.scaleService({ service, place, rental, count }, { name: machine, term })
    stateLog.decided('fleet ordered', { service, place, kind: rental, count, former, why, verdict, term })
    this.applyVerdict(fleet, order, verdict)
  }

  private applyVerdict (fleet: FleetState, order: FleetOrder, verdict: ScaleVerdict): void {
    const key = pairKey(order)
    const outstanding = fleet.outstanding.get(key)
    switch (verdict) {
      case 'accepted':
        this.failures = 0
        if (outstanding !== undefined) fleet.outstanding.set(key, { ...outstanding, confirmed: true })
        fleet.exclusions.delete(key)
        return
      case 'unavailable':
        this.failures = 0
        fleet.outstanding.delete(key)
        return this.exclude(fleet, order, Math.min(MAX_EXCLUSION_MS, 2 * (fleet.exclusions.get(key)?.durationMs ?? INITIAL_EXCLUSION_MS / 2)))
      case 'rejected':
        // A repeat would be rejected too, so it is tried as rarely as possible.
        this.failures = 0
        fleet.outstanding.delete(key)
        return this.exclude(fleet, order, MAX_EXCLUSION_MS)
      case 'later':
        fleet.outstanding.delete(key)
        return this.pauseOrders()
      case 'no-answer': return this.pauseOrders()
    }
  }

  private exclude (fleet: FleetState, { place, rental }: FleetOrder, durationMs: number): void {
    fleet.exclusions.set(pairKey({ place, rental }), { place, rental, durationMs, untilMs: this.services.clock.monotonic() + durationMs })
  }

  private pauseOrders (): void {
    const { clock, chance } = this.services
    const delayMs = Math.min(MAX_RETRY_DELAY_MS, INITIAL_RETRY_DELAY_MS * 2 ** this.failures)
    this.failures++
    this.pausedUntilMs = clock.monotonic() + delayMs * (1 + chance.next()) / 2
  }

  private logShortage (service: string, fleet: FleetState, { isShort, needed, present }: FleetPlan): void {
    const now = this.services.clock.monotonic()
    if (!isShort || now - fleet.shortageLoggedAtMs < SHORTAGE_LOG_INTERVAL_MS) return
    fleet.shortageLoggedAtMs = now
    this.services.stateLog.decided('fleet short', { service, needed, there: present })
  }

  private updateGauges (): void {
    const plans = [...this.fleets.values()].flatMap(({ plan }) => plan ?? [])
    this.services.metrics.gauge('fleet.needed', plans.reduce((sum, { needed }) => sum + needed, 0))
    this.services.metrics.gauge('fleet.present', plans.reduce((sum, { present }) => sum + present, 0))
  }

  private fleetOf (service: string): FleetState {
    const known = this.fleets.get(service)
    if (known !== undefined) return known
    const created = newFleetState()
    this.fleets.set(service, created)
    return created
  }
}

/** Counts targets by failure domain and kind. */
function countTargets (targets: readonly TargetDefinition[]): Map<string, FleetCounts> {
  const counts = new Map<string, FleetCounts>()
  for (const { place, rental } of targets) {
    const { regular, spot } = counts.get(place) ?? { regular: 0, spot: 0 }
    counts.set(place, rental === 'spot' ? { regular, spot: spot + 1 } : { regular: regular + 1, spot })
  }
  return counts
}

function hasGrown (former: ReadonlyMap<string, FleetCounts>, present: ReadonlyMap<string, FleetCounts>): boolean {
  return [...present].some(([place, { regular, spot }]) => regular > (former.get(place)?.regular ?? 0) || spot > (former.get(place)?.spot ?? 0))
}
