/** Callers of the demo: interactive streams, status queries, and once-only entries. */

import { randomUUID } from 'node:crypto'
import { request } from 'undici'
import { findAttributionErrors } from '../../test/support/attributionChecks.ts'
import { keys } from '../../test/support/hostProcess.ts'
import { streamCompletion } from '../../test/support/streams.ts'
import type { AddressBook } from './addressBook.ts'
import type { Latencies, Tally } from './tally.ts'

const questions = ['Dear family, your viewing of flat 12 in', 'The slot at ten is taken; we can offer', 'Revision status of sheet A-104 in transmittal', 'Tag these register lines for the Bergamo site:']

export interface CallerContext {
  readonly book: AddressBook
  readonly tally: Tally
  readonly latencies: Latencies
  readonly running: () => boolean
  /** Addresses of hosts that were killed rather than stopped. */
  readonly killedHosts: ReadonlySet<string>
  /** Addresses of hosts that were told to stop. */
  readonly stoppingHosts: ReadonlySet<string>
  /** Number of requests in flight by host address. */
  readonly inFlight: Map<string, number>
}

export async function pause (milliseconds: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, milliseconds))
}

/** Requests streamed completions until the demo ends. A failed request is retried on another host. */
export async function runInteractiveCaller (context: CallerContext, lane: string, seed: number): Promise<void> {
  for (let turn = seed; context.running(); turn++) {
    context.tally.requests.asked++
    const prompt = `${questions[turn % questions.length] ?? ''} ${turn}`
    const began = performance.now()
    const avoid = new Set<string>()
    while (!await completeOnce(context, lane, prompt, avoid) && avoid.size < 6) await pause(50)
    context.latencies.record('interactive', performance.now() - began)
    await pause(30)
  }
}

async function completeOnce (context: CallerContext, lane: string, prompt: string, avoid: Set<string>): Promise<boolean> {
  const { tally, inFlight } = context
  const address = await context.book.next(avoid)
  inFlight.set(address, (inFlight.get(address) ?? 0) + 1)
  try {
    const outcome = await streamCompletion(address, { lane, body: { prompt, max_tokens: 48 } })
    if (outcome.whole) {
      tally.requests.answeredWhole++
      tally.requests.wrongAnswers += findAttributionErrors(outcome.text, outcome.segments).length
      return true
    }
    if (outcome.error?.effect === 'not-run') tally.requests.refusedNotRun++
    else if (outcome.error !== undefined) tally.requests.unknown++
    else recordBrokenRequest(context, address)
  } catch {
    recordBrokenRequest(context, address)
  } finally {
    inFlight.set(address, (inFlight.get(address) ?? 1) - 1)
  }
  avoid.add(address)
  return false
}

function recordBrokenRequest ({ tally, killedHosts: killed, stoppingHosts: stopping }: CallerContext, address: string): void {
  if (killed.has(address)) tally.requests.brokenByKill++
  else if (stopping.has(address)) tally.stop.cutByPlannedStop++
  else tally.requests.unknown++
}

/** Sends status queries until the demo ends. */
export async function runStatusCaller (context: CallerContext, lane: string): Promise<void> {
  for (let sheet = 0; context.running(); sheet++) {
    context.tally.requests.asked++
    const began = performance.now()
    const avoid = new Set<string>()
    for (let attempt = 0; attempt < 5; attempt++) {
      const address = await context.book.next(avoid)
      const answer = await callService(address, lane, `/status/${sheet}`, {})
      if (answer?.status === 200) {
        context.tally.requests.answeredWhole++
        if (answer.body.path !== `/status/${sheet}`) context.tally.requests.wrongAnswers++
        break
      }
      if (answer === undefined) recordBrokenRequest(context, address)
      else context.tally.requests.refusedNotRun++
      avoid.add(address)
      await pause(30)
    }
    context.latencies.record('status', performance.now() - began)
    await pause(15)
  }
}

/** The outcome that a caller was told for a once-only entry. */
export interface EntryOutcome {
  readonly id: string
  state: 'answered' | 'not-run' | 'unknown'
}

/** Sends once-only entries until the demo ends, each several times and to several hosts. */
export async function runEntryCaller (context: CallerContext, lane: string, outcomes: EntryOutcome[]): Promise<void> {
  while (context.running()) {
    const outcome: EntryOutcome = { id: randomUUID(), state: 'not-run' }
    outcomes.push(outcome)
    const headers = { 'x-request-id': outcome.id, 'x-issued-at': String(Date.now()), 'x-idempotent': 'false' }
    const began = performance.now()
    for (let attempt = 0; attempt < 8; attempt++) {
      const address = await context.book.next()
      const answer = await callService(address, lane, '/ledger', headers, JSON.stringify({ flat: 12 }))
      outcome.state = nextOutcomeState(outcome.state, answer)
      if (outcome.state === 'answered' && attempt > 0) break
      if (outcome.state === 'unknown' && attempt > 4) break
      await pause(outcome.state === 'answered' ? 0 : 100)
    }
    context.latencies.record('once-only', performance.now() - began)
    await pause(40)
  }
}

function nextOutcomeState (before: EntryOutcome['state'], answer: { status: number, body: Record<string, unknown> } | undefined): EntryOutcome['state'] {
  if (answer?.status === 200 || before === 'answered') return 'answered'
  const effect = (answer?.body.error as { effect?: string } | undefined)?.effect
  return effect === 'not-run' && before === 'not-run' ? 'not-run' : 'unknown'
}

async function callService (address: string, lane: string, path: string, headers: Record<string, string>, body?: string): Promise<{ status: number, body: Record<string, unknown> } | undefined> {
  try {
    const answer = await request(`${address}/v1/lanes/${lane}/services${path}`, {
      method: body === undefined ? 'GET' : 'POST',
      headers: { authorization: `Bearer ${keys.caller}`, 'content-type': 'application/json', ...headers },
      body: body ?? null,
      signal: AbortSignal.timeout(8000)
    })
    return { status: answer.statusCode, body: await answer.body.json() as Record<string, unknown> }
  } catch {
    return undefined
  }
}
