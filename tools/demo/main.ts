/**
 * The main job with stand-ins, on separate processes on loopback: two trainers, interactive callers,
 * status queries and once-only entries share four entry hosts in two places, while weights change, a
 * target is drained, a lane is changed, one host is stopped and another is killed.
 */

import { writeFileSync } from 'node:fs'
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { Cluster, keys } from '../../test/support/hostProcess.ts'
import { AddressBook } from './addressBook.ts'
import type { CallerContext, EntryOutcome } from './callers.ts'
import { entryCaller, interactiveCaller, pause, statusCaller } from './callers.ts'
import type { StandInProcess } from './standInProcesses.ts'
import { startStandInProcess } from './standInProcesses.ts'
import type { Tally } from './tally.ts'
import { Latencies, emptyTally, faultsOf, formatTally } from './tally.ts'
import { TrainerJob } from './trainerJob.ts'

const ENGINES = 6
const SERVICES = 3
const PLACES = ['Abdali', 'Marka'] as const
const LONGEST_MS = 50_000

interface World {
  readonly standIns: StandInProcess[]
  readonly engines: readonly StandInProcess[]
  readonly services: readonly StandInProcess[]
  readonly cluster: Cluster
}

function progress (text: string): void {
  process.stdout.write(`${(performance.now() / 1000).toFixed(1).padStart(6)} s  ${text}\n`)
}

async function startWorld (): Promise<World> {
  const store = await startStandInProcess('weight-store', { perSecond: 4 })
  const [log, scorer, hostList] = await Promise.all([startStandInProcess('log'), startStandInProcess('scorer'), startStandInProcess('host-list', { lagMs: 1000 })])
  const engines = await Promise.all(Array.from({ length: ENGINES }, async (_, index) => await startStandInProcess('engine', {
    slots: 6, stepMs: 12, answerTokens: 60, stragglers: 0.03, loadMs: 200, fenced: index % 2 === 0, store: store.address
  })))
  const services = await Promise.all(Array.from({ length: SERVICES }, async () => await startStandInProcess('service')))
  progress(`${engines.length} engines, ${services.length} services, log, scorer, weight store and host list run`)
  const hosts = ['abdali-1', 'abdali-2', 'marka-1', 'marka-2'].map((name) => ({ name, place: name.startsWith('abdali') ? PLACES[0] : PLACES[1] }))
  const cluster = await Cluster.start({ hosts, logAddress: log.address, hostListAddress: hostList.address, scorerAddress: scorer.address, program: ['dist/bulrushvalve'], settings: { limits: { valid_for: 1500 }, log: { checkpoint_interval: 3000 } } })
  progress('4 entry hosts run in 2 places')
  await cluster.order(`create pool drafter copies ${ENGINES} weights 1`, `create pool viewings copies ${SERVICES}`,
    'create lane desk pool drafter priority 0 deadline 10s', 'create lane bookings pool viewings priority 0 deadline 8s',
    'create subscription replies pool drafter trainer trainer staleness 2 share 2 maximumTokens 64',
    'create subscription register pool drafter trainer second staleness 1 share 1 maximumTokens 64',
    ...engines.map(({ address }, index) => `create target drafter-${index} pool drafter address "${address}" place ${PLACES[index % 2] ?? ''} slots 6 fenced ${index % 2 === 0}`),
    ...services.map(({ address }, index) => `create target viewings-${index} pool viewings type service address "${address}" place ${PLACES[index % 2] ?? ''} slots 16`))
  progress('pools, lanes, subscriptions and targets are ordered')
  return { standIns: [store, log, scorer, hostList, ...engines, ...services], engines, services, cluster }
}

/** What goes wrong and is ordered while the work runs. */
async function events ({ cluster }: World, context: CallerContext & { killed: Set<string>, stopping: Set<string> }): Promise<void> {
  await pause(3000)
  await cluster.order('drain target drafter-1')
  progress('target drafter-1 is drained')
  await pause(1000)
  await cluster.order('set lane desk priority 1')
  progress('lane desk is changed')
  await pause(1500)
  const stopped = cluster.named('marka-2')
  for (let look = 0; look < 200 && (context.inFlight.get(stopped.address) ?? 0) === 0; look++) await pause(10)
  context.stopping.add(stopped.address)
  context.tally.stop.inFlightAtPlannedStop = context.inFlight.get(stopped.address) ?? 0
  stopped.terminate()
  progress(`host marka-2 is stopped, with ${context.tally.stop.inFlightAtPlannedStop} streams in flight`)
  await stopped.ended()
  progress(`host marka-2 has ended with ${stopped.exitCode}`)
  await pause(1000)
  const killed = cluster.named('abdali-2')
  context.killed.add(killed.address)
  await killed.kill()
  progress('host abdali-2 is killed')
  await pause(2500)
  await cluster.order('restore target drafter-1')
  progress('target drafter-1 is back')
}

async function judgeEntries ({ services }: World, outcomes: readonly EntryOutcome[], tally: Tally): Promise<void> {
  const ran = new Map<string, number>()
  for (const service of services) {
    for (const { id, path } of (await service.records<{ ran: { id: string, path: string }[] }>()).ran) {
      if (path === '/ledger') ran.set(id, (ran.get(id) ?? 0) + 1)
    }
  }
  const { onceOnly } = tally
  for (const { id, state } of outcomes) {
    const times = ran.get(id) ?? 0
    onceOnly.entries++
    if (times === 1) onceOnly.ranOnce++
    if (times > 1) onceOnly.ranTwice++
    if (times === 0) onceOnly.neverRan++
    if (state === 'unknown') onceOnly.unknown++
    if (state === 'not-run' && times > 0) onceOnly.saidNotRunAndRan++
  }
}

async function work (world: World): Promise<Tally> {
  const tally = emptyTally()
  const latencies = new Latencies()
  const book = new AddressBook(world.cluster.hosts.map(({ address }) => address))
  let running = true
  const context = { book, tally, latencies, running: () => running, killed: new Set<string>(), stopping: new Set<string>(), inFlight: new Map<string, number>() }
  const newest = { version: 1 }
  const shared = { pool: 'drafter', steps: 5, groups: 12, samples: 4, trainMs: 400 }
  const trainers = [
    new TrainerJob({ ...shared, subscription: 'replies', key: keys.trainer, staleness: 2, topic: 'Draft a reply to the family that asks for flat' }, book, tally, newest),
    new TrainerJob({ ...shared, subscription: 'register', key: keys.second, staleness: 1, topic: 'Tag the register lines of sheet' }, book, tally, newest)
  ]
  const outcomes: EntryOutcome[] = []
  const callers = [
    ...Array.from({ length: 6 }, async (_, index) => { await interactiveCaller(context, 'desk', index * 1000) }),
    ...Array.from({ length: 4 }, async () => { await statusCaller(context, 'bookings') }),
    ...Array.from({ length: 3 }, async () => { await entryCaller(context, 'bookings', outcomes) })
  ]
  const report = setInterval(() => {
    progress(`${tally.requests.answeredWhole} answers, ${outcomes.length} entries, steps ${trainers.map(({ finishedSteps }) => finishedSteps).join(' and ')}, weights ${newest.version}`)
  }, 2000)
  await Promise.all([events(world, context), ...trainers.map(async (trainer) => { await trainer.run() })])
  running = false
  await Promise.all(callers)
  clearInterval(report)
  await judgeEntries(world, outcomes, tally)
  tally.trainers.idleShare = average(trainers.map(({ idleShare }) => idleShare))
  tally.copies.busyShare = average(await Promise.all(world.engines.map(async (engine) => (await engine.records<{ busyShare: number }>()).busyShare)))
  tally.latencyMs = latencies.summary()
  return tally
}

function average (values: readonly number[]): number {
  return Math.round(values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length) * 1000) / 1000
}

async function main (): Promise<void> {
  const { report } = await yargs(hideBin(process.argv)).option('report', { type: 'string', describe: 'file for the summary as JSON' }).strict().parseAsync()
  const limit = setTimeout(() => {
    process.stderr.write('the demo took too long\n')
    process.exit(1)
  }, LONGEST_MS + 9000)
  const world = await startWorld()
  try {
    const tally = await work(world)
    const faults = faultsOf(tally)
    process.stdout.write(`${JSON.stringify((await world.cluster.host(0).rows('show subscriptions')).map(({ name, rejected, duplicates }) => ({ name, rejected, duplicates })))}\n`)
    process.stdout.write(`\n${formatTally(tally)}\n\n${faults.length === 0 ? 'all promises were kept' : faults.join('\n')}\n`)
    if (report !== undefined) writeFileSync(report, JSON.stringify({ ...tally, faults }, undefined, 2))
    process.exitCode = faults.length === 0 ? 0 : 1
  } finally {
    await world.cluster.stop()
    for (const standIn of world.standIns) standIn.stop()
    clearTimeout(limit)
  }
}

main().catch((error: unknown) => {
  process.stderr.write(`${String(error)}\n`)
  process.exitCode = 1
})
