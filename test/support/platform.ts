/** Runs the stand-ins for the platform inside the test process, so that tests can read their records. */

import type { EngineOptions, EngineStandIn } from '../../standins/engine.ts'
import { startEngine } from '../../standins/engine.ts'
import type { StandIn } from '../../standins/httpStandIn.ts'
import type { LogStandIn } from '../../standins/log.ts'
import { startLog } from '../../standins/log.ts'
import type { ServiceStandIn } from '../../standins/service.ts'
import { startHostList, startScorer, startService } from '../../standins/service.ts'
import type { ClusterOptions, SettingsTables } from './hostProcess.ts'
import { Cluster } from './hostProcess.ts'

export interface TestPlatformOptions {
  readonly engines?: number
  readonly services?: number
  readonly engine?: Partial<EngineOptions>
  readonly places?: readonly string[]
}

export type EngineTarget = StandIn & { readonly engine: EngineStandIn }
export type ServiceTarget = StandIn & { readonly service: ServiceStandIn }

export interface TestPlatform {
  readonly log: StandIn & { readonly log: LogStandIn }
  readonly engines: readonly EngineTarget[]
  readonly services: readonly ServiceTarget[]
  readonly scorer: StandIn
  readonly hostList: Awaited<ReturnType<typeof startHostList>>
  startCluster (hosts: ClusterOptions['hosts'], settings?: SettingsTables): Promise<Cluster>
  prepareCluster (hosts: ClusterOptions['hosts'], settings?: SettingsTables): Promise<Cluster>
  /** Creates pools, targets, lanes and a subscription that cover all engine and service stand-ins. */
  configure (cluster: Cluster): Promise<void>
  close (): Promise<void>
}

export async function startTestPlatform ({ engines = 1, services = 0, engine = {}, places = ['Abdali', 'Marka'] }: TestPlatformOptions = {}): Promise<TestPlatform> {
  const log = await startLog()
  const scorer = await startScorer()
  const hostList = await startHostList(200)
  const engineTargets = await Promise.all(Array.from({ length: engines }, async () => await startEngine({ reportLagMs: 50, ...engine })))
  const serviceTargets = await Promise.all(Array.from({ length: services }, async () => await startService()))
  const failureDomainOf = (index: number): string => places[index % places.length] ?? ''
  const options = (hosts: ClusterOptions['hosts'], settings?: SettingsTables): ClusterOptions => ({
    hosts, logAddress: log.address, hostListAddress: hostList.address, scorerAddress: scorer.address, ...(settings === undefined ? {} : { settings })
  })
  return {
    log,
    engines: engineTargets,
    services: serviceTargets,
    scorer,
    hostList,
    startCluster: async (hosts, settings) => await Cluster.start(options(hosts, settings)),
    prepareCluster: async (hosts, settings) => await Cluster.prepare(options(hosts, settings)),
    configure: async (cluster) => {
      const slots = engine.slots ?? 8
      if (engines > 0) {
        await cluster.execute(`create pool drafter copies ${engines}`, 'create lane desk pool drafter priority 0 deadline 10s', 'create subscription drafts pool drafter trainer trainer staleness 1 maximumTokens 64')
        await cluster.execute(...engineTargets.map(({ address }, index) => `create target drafter-${index} pool drafter address "${address}" place ${failureDomainOf(index)} slots ${slots} fenced ${engine.fenced ?? true}`))
      }
      if (services > 0) {
        await cluster.execute(`create pool viewings copies ${services}`, 'create lane bookings pool viewings priority 0 deadline 10s')
        await cluster.execute(...serviceTargets.map(({ address }, index) => `create target viewings-${index} pool viewings type service address "${address}" place ${failureDomainOf(index)} slots 8`))
      }
    },
    close: async () => { await Promise.all([log, scorer, hostList, ...engineTargets, ...serviceTargets].map(async (standIn) => { await standIn.close() })) }
  }
}
