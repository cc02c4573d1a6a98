/**
 * Runs the statements of operators in the query and command language. A query is sent to all hosts
 * if only they hold the data; the answer lists the hosts that did not reply and the log offset of
 * each part. Commands are conditional records that the fold accepts or rejects.
 */

import type { Result } from '../../../base/common/resultCode.ts'
import { failure, success } from '../../../base/common/resultCode.ts'
import type { Command } from '../../../core/common/fold/command.ts'
import type { Row } from '../../../core/common/language/rows.ts'
import { filterRows } from '../../../core/common/language/rows.ts'
import type { ShowStatement } from '../../../core/common/language/statement.ts'
import type { RandomSource, Clock } from '../../../ports/common/clock.ts'
import { pause } from '../../../ports/common/clock.ts'
import type { PeerHandlers, Peers } from '../../../ports/common/peers.ts'
import type { Appender } from '../log/appender.ts'
import type { FoldView } from '../log/controlLog.ts'
import type { MembershipView } from '../membership/membership.ts'
import type { Views } from './views.ts'

/** Identity of the operator that sends a request. */
export interface OperatorIdentity {
  readonly name: string
}

/** Request of an operator. */
export interface OperatorRequest {
  readonly statement: string
  /** Id that makes a repeated command idempotent; generated if absent. */
  readonly id?: string
  /** Whether to answer only when the change is in force on all live hosts, or the wait has timed out. */
  readonly wait?: boolean
}

/** Answer to a query. */
export interface RowsAnswer {
  readonly type: 'rows'
  readonly rows: readonly Row[]
  /** Hosts that contributed rows, with the log offset up to which each had folded. */
  readonly sources: readonly { readonly host: string, readonly offset: number }[]
  /** Hosts that did not reply before the timeout. */
  readonly silent: readonly string[]
}

/** Answer to a command. */
export interface CommandAnswer {
  readonly type: 'accepted'
  readonly id: string
  readonly revision: number
  /** Hosts on which the change is known to be in force; only with `wait`. */
  readonly confirmed?: readonly string[]
  readonly unconfirmed?: readonly string[]
}

export interface OperatorServiceDependencies {
  readonly fold: FoldView
  readonly appender: Pick<Appender, 'decide'>
  readonly membership: MembershipView
  readonly views: Views
  readonly peers: Peers
  readonly handlers: PeerHandlers
  readonly clock: Clock
  readonly chance: RandomSource
}

const PEER_QUERY_TIMEOUT_MS = 1000
const CONFIRMATION_POLL_INTERVAL_MS = 100

export class OperatorService {
  constructor (private readonly services: OperatorServiceDependencies, private readonly verdictTimeoutMs: number) {
    services.handlers.handle('query.rows', async ({ view }) => ({
      rows: services.views.localRows(view),
      offset: services.fold.state.offset,
      revision: services.fold.state.configurationRevision
    }))
  }

  /**
   * Runs a statement. The parser is loaded with the first statement, as it takes a third of the memory
   * budget of an idle host and most hosts receive no statement for hours.
   */
  async run (request: OperatorRequest, identity: OperatorIdentity): Promise<Result<RowsAnswer | CommandAnswer>> {
    const { parseStatement } = await import('../../../core/common/language/parser.ts')
    const statement = parseStatement(request.statement)
    if (!statement.ok) return statement
    return statement.value.type === 'show'
      ? await this.runQuery(statement.value)
      : await this.runCommand(statement.value.command, request, identity)
  }

  private async runQuery (statement: ShowStatement): Promise<Result<RowsAnswer>> {
    const { fold, views, membership } = this.services
    if (statement.subscription !== undefined && fold.state.configuration.subscription[statement.subscription] === undefined) {
      return failure('notFound', `there is no subscription ${statement.subscription}`)
    }
    const ownSource = { host: membership.self.host, offset: fold.state.offset }
    const sharedRows = views.sharedRows(statement)
    if (sharedRows !== undefined) return success({ type: 'rows', rows: filterRows(sharedRows, statement.conditions), sources: [ownSource], silent: [] })
    const others = membership.members().filter((member) => member.host !== membership.self.host && member.status !== 'dead')
    const answers = await Promise.all(others.map(async (member) => ({
      member,
      answer: await this.services.peers.call(member.address, 'query.rows', { view: statement.view }, PEER_QUERY_TIMEOUT_MS)
    })))
    const parts = answers.flatMap(({ member, answer }) => answer.ok ? [{ host: member.host, rows: answer.value.rows, offset: answer.value.offset }] : [])
    const rows = [...views.localRows(statement.view), ...parts.flatMap((part) => part.rows)]
    return success({
      type: 'rows',
      rows: filterRows(views.mergeRows(statement.view, rows), statement.conditions),
      sources: [ownSource, ...parts.map(({ host, offset }) => ({ host, offset }))],
      silent: answers.filter(({ answer }) => !answer.ok).map(({ member }) => member.host)
    })
  }

  private async runCommand (command: Command, request: OperatorRequest, identity: OperatorIdentity): Promise<Result<CommandAnswer>> {
    const id = request.id ?? this.services.chance.id()
    const record = { kind: 'command', id: `${identity.name}:${id}`, at: this.services.clock.wall(), by: identity.name, command } as const
    const decided = await this.services.appender.decide(record, this.verdictTimeoutMs)
    if (!decided.ok) return decided
    const verdict = decided.value.result as Result<number>
    if (!verdict.ok) return verdict
    const accepted: CommandAnswer = { type: 'accepted', id, revision: verdict.value }
    return success(request.wait === true ? { ...accepted, ...await this.awaitConfirmation(this.services.fold.state.offset) } : accepted)
  }

  /** Polls the live hosts until all have folded up to the offset, or the timeout expires. */
  private async awaitConfirmation (offset: number): Promise<{ confirmed: string[], unconfirmed: string[] }> {
    const deadline = this.services.clock.monotonic() + this.verdictTimeoutMs
    const { membership } = this.services
    const confirmed = new Set<string>([membership.self.host])
    for (;;) {
      const unconfirmedMembers = membership.members().filter((member) => member.status !== 'dead' && !confirmed.has(member.host))
      if (unconfirmedMembers.length === 0 || this.services.clock.monotonic() >= deadline) return { confirmed: [...confirmed], unconfirmed: unconfirmedMembers.map((member) => member.host) }
      await Promise.all(unconfirmedMembers.map(async (member) => {
        const answer = await this.services.peers.call(member.address, 'query.rows', { view: 'none' }, PEER_QUERY_TIMEOUT_MS)
        if (answer.ok && answer.value.offset >= offset) confirmed.add(member.host)
      }))
      await pause(this.services.clock, CONFIRMATION_POLL_INTERVAL_MS)
    }
  }
}
