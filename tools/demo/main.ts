/**
 * Demo of a whole deployment with stand-ins, in separate processes on loopback. Two trainers, interactive
 * callers, status queries and once-only entries share four entry hosts in two failure domains, while
 * weights change, a target is drained, a lane is changed, one host is stopped and another is killed.
 */

import { writeFileSync } from 'node:fs'
import yargs from 'yargs'
import { hideBin } from 'yargs/helpers'
import { Cluster, keys } from '../../test/support/hostProcess.ts'
import { AddressBook } from './addressBook.ts'
import type { CallerContext, EntryOutcome } from './callers.ts'
import { runEntryCaller, runInteractiveCaller, pause, runStatusCaller } from './callers.ts'
import type { StandInProcess } from './standInProcesses.ts'
import { startStandInProcess } from './standInProcesses.ts'
import type { Tally } from './tally.ts'
import { Latencies, emptyTally, findViolations, formatTally } from './tally.ts'
import { TrainerJob } from './trainerJob.ts'

const ENGINE_COUNT = 6
const SERVICE_COUNT = 3
const PLACES = ['Abdali', 'Marka'] as const
const TIME_LIMIT_MS = 50_000

interface DemoEnvironment {
  readonly standIns: StandInProcess[]
  readonly engines: readonly StandInProcess[]
  readonly services: readonly StandInProcess[]
  readonly cluster: Cluster
}

function logProgress (text: string): void {
  process.stdout.write(`${(performance.now() / 1000).toFixed(1).padStart(6)} s  ${text}\n`)
}

async function startEnvironment (): Promise<DemoEnvironment> {
  const store = await startStandInProcess('weight-store', { perSecond: 4 })
  const [log, scorer, hostList] = await Promise.all([startStandInProcess('log'), startStandInProcess('scorer'), startStandInProcess('host-list', { lagMs: 1000 })])
  const engines = await Promise.all(Array.from({ length: ENGINE_COUNT }, async (_, index) => await startStandInProcess('engine', {
    slots: 6, stepMs: 12, answerTokens: 60, stragglers: 0.03, loadMs: 200, fenced: index % 2 === 0, store: store.address
  })))
  const services = await Promise.all(Array.from({ length: SERVICE_COUNT }, async () => await startStandInProcess('service')))
  logProgress(`${engines.length} engines, ${services.length} services, log, scorer, weight store and host list run`)
  const hosts = ['abdali-1', 'abdali-2', 'marka-1', 'marka-2'].map((name) => ({ name, place: name.startsWith('abdali') ? PLACES[0] : PLACES[1] }))
  const cluster = await Cluster.start({ hosts, logAddress: log.address, hostListAddress: hostList.address, scorerAddress: scorer.address, program: ['dist/bulrushvalve'], settings: { limits: { valid_for: 1500 }, log: { checkpoint_interval: 3000 } } })
  logProgress('4 entry hosts run in 2 failure domains')
  await cluster.execute(`create pool drafter copies ${ENGINE_COUNT} weights 1`, `create pool viewings copies ${SERVICE_COUNT}`,
    'create lane desk pool drafter priority 0 deadline 10s', 'create lane bookings pool viewings priority 0 deadline 8s',
    'create subscription replies pool drafter trainer trainer staleness 2 share 2 maximumTokens 64',
    'create subscription register pool drafter trainer second staleness 1 share 1 maximumTokens 64',
    ...engines.map(({ address }, index) => `create target drafter-${index} pool drafter address "${address}" place ${PLACES[index % 2] ?? ''} slots 6 fenced ${index % 2 === 0}`),
    ...services.map(({ address }, index) => `create target viewings-${index} pool viewings type service address "${address}" place ${PLACES[index % 2] ?? ''} slots 16`))
  logProgress('pools, lanes, subscriptions and targets are created')
  return { standIns: [store, log, scorer, hostList, ...engines, ...services], engines, services, cluster }
}

/** Executes operator commands and injects host failures while the workload runs. */
async function injectEvents ({ cluster }: DemoEnvironment, context: CallerContext & { killedHosts: Set<string>, stoppingHosts: Set<string> }): Promise<void> {
  await pause(3000)
  await cluster.execute('drain target drafter-1')
  logProgress('target drafter-1 is drained')
  await pause(1000)
  await cluster.execute('set lane desk priority 1')
  logProgress('lane desk is changed')
  await pause(1500)
  const stopped = cluster.hostNamed('marka-2')
  for (let attempt = 0; attempt < 200 && (context.inFlight.get(stopped.address) ?? 0) === 0; attempt++) await pause(10)
  context.stoppingHosts.add(stopped.address)
  context.tally.stop.inFlightAtPlannedStop = context.inFlight.get(stopped.address) ?? 0
  stopped.terminate()
  logProgress(`host marka-2 is stopped, with ${context.tally.stop.inFlightAtPlannedStop} streams in flight`)
  await stopped.waitForExit()
  logProgress(`host marka-2 has exited with code ${stopped.exitCode}`)
  await pause(1000)
  const killed = cluster.hostNamed('abdali-2')
  context.killedHosts.add(killed.address)
  await killed.kill()
  logProgress('host abdali-2 is killed')
  await pause(2500)
  await cluster.execute('restore target drafter-1')
  logProgress('target drafter-1 is restored')
}

async function tallyEntries ({ services }: DemoEnvironment, outcomes: readonly EntryOutcome[], tally: Tally): Promise<void> {
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

async function runWorkload (environment: DemoEnvironment): Promise<Tally> {
  const tally = emptyTally()
  const latencies = new Latencies()
  const book = new AddressBook(environment.cluster.hosts.map(({ address }) => address))
  let running = true
  const context = { book, tally, latencies, running: () => running, killedHosts: new Set<string>(), stoppingHosts: new Set<string>(), inFlight: new Map<string, number>() }
  const newestWeights = { version: 1 }
  const shared = { pool: 'drafter', steps: 5, groups: 12, samples: 4, trainMs: 400 }
  const trainers = [
    new TrainerJob({ ...shared, subscription: 'replies', key: keys.trainer, staleness: 2, topic: 'Draft a reply to the family that asks for flat' }, book, tally, newestWeights),
    new TrainerJob({ ...shared, subscription: 'register', key: keys.second, staleness: 1, topic: 'Tag the register lines of sheet' }, book, tally, newestWeights)
  ]
  const outcomes: EntryOutcome[] = []
  const callers = [
    ...Array.from({ length: 6 }, async (_, index) => { await runInteractiveCaller(context, 'desk', index * 1000) }),
    ...Array.from({ length: 4 }, async () => { await runStatusCaller(context, 'bookings') }),
    ...Array.from({ length: 3 }, async () => { await runEntryCaller(context, 'bookings', outcomes) })
  ]
  const progressTimer = setInterval(() => {
    logProgress(`${tally.requests.answeredWhole} answers, ${outcomes.length} entries, steps ${trainers.map(({ finishedSteps }) => finishedSteps).join(' and ')}, weights ${newestWeights.version}`)
  }, 2000)
  await Promise.all([injectEvents(environment, context), ...trainers.map(async (trainer) => { await trainer.run() })])
  running = false
  await Promise.all(callers)
  clearInterval(progressTimer)
  await tallyEntries(environment, outcomes, tally)
  tally.trainers.idleShare = average(trainers.map(({ idleShare }) => idleShare))
  tally.copies.busyShare = average(await Promise.all(environment.engines.map(async (engine) => (await engine.records<{ busyShare: number }>()).busyShare)))
  tally.latencyMs = latencies.summary()
  return tally
}

function average (values: readonly number[]): number {
  return Math.round(values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length) * 1000) / 1000
}

async function main (): Promise<void> {
  const { report } = await yargs(hideBin(process.argv)).option('report', { type: 'string', describe: 'file for the summary as JSON' }).strict().parseAsync()
  const timeLimitTimer = setTimeout(() => {
    process.stderr.write('the demo exceeded its time limit\n')
    process.exit(1)
  }, TIME_LIMIT_MS + 9000)
  const environment = await startEnvironment()
  try {
    const tally = await runWorkload(environment)
    const faults = findViolations(tally)
    process.stdout.write(`${JSON.stringify((await environment.cluster.host(0).rows('show subscriptions')).map(({ name, rejected, duplicates }) => ({ name, rejected, duplicates })))}\n`)
    process.stdout.write(`\n${formatTally(tally)}\n\n${faults.length === 0 ? 'all guarantees were kept' : faults.join('\n')}\n`)
    if (report !== undefined) writeFileSync(report, JSON.stringify({ ...tally, faults }, undefined, 2))
    process.exitCode = faults.length === 0 ? 0 : 1
  } finally {
    await environment.cluster.stop()
    for (const standIn of environment.standIns) standIn.stop()
    clearTimeout(timeLimitTimer)
  }
}

main().catch((error: unknown) => {
  process.stderr.write(`${String(error)}\n`)
  process.exitCode = 1
})
