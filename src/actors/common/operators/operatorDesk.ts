/**
 * What operators ask for: statements of the query and command language. Questions go to all hosts
 * where only they know the answer; the answer says which did not reply and how old each part is.
 * Commands are conditional records and are accepted or rejected by the fold.
 */

import type { Result } from '../../../base/common/resultCode.ts'
import { failure, success } from '../../../base/common/resultCode.ts'
import type { Command } from '../../../core/common/fold/command.ts'
import type { Row } from '../../../core/common/language/rows.ts'
import { filterRows } from '../../../core/common/language/rows.ts'
import type { ShowStatement } from '../../../core/common/language/statement.ts'
import type { Chance, Clock } from '../../../ports/common/clock.ts'
import { pause } from '../../../ports/common/clock.ts'
import type { PeerHandlers, Peers } from '../../../ports/common/peers.ts'
import type { Appender } from '../log/appender.ts'
import type { FoldView } from '../log/controlLog.ts'
import type { MembershipView } from '../membership/membership.ts'
import type { Views } from './views.ts'

/** Who asks. */
export interface OperatorIdentity {
  readonly name: string
}

/** What an operator sends. */
export interface OperatorRequest {
  readonly statement: string
  /** Makes a repeated command harmless; chosen here where absent. */
  readonly id?: string
  /** Answers only once the change is in force on all live hosts. */
  readonly wait?: boolean
}

/** Answer to a question. */
export interface RowsAnswer {
  readonly type: 'rows'
  readonly rows: readonly Row[]
  /** Each host that contributed, with the log offset its part stands at. */
  readonly sources: readonly { readonly host: string, readonly offset: number }[]
  /** Hosts that did not reply in time. */
  readonly silent: readonly string[]
}

/** Answer to a command. */
export interface CommandAnswer {
  readonly type: 'accepted'
  readonly id: string
  readonly revision: number
  /** Hosts that are known to have the change in force; only with `wait`. */
  readonly confirmed?: readonly string[]
  readonly unconfirmed?: readonly string[]
}

export interface OperatorDeskServices {
  readonly fold: FoldView
  readonly appender: Pick<Appender, 'decide'>
  readonly membership: MembershipView
  readonly views: Views
  readonly peers: Peers
  readonly handlers: PeerHandlers
  readonly clock: Clock
  readonly chance: Chance
}

const FAN_OUT_TIMEOUT_MS = 1000
const CONFIRM_EVERY_MS = 100

export class OperatorDesk {
  constructor (private readonly services: OperatorDeskServices, private readonly verdictWaitMs: number) {
    services.handlers.handle('query.rows', async ({ view }) => ({
      rows: services.views.local(view),
      offset: services.fold.state.offset,
      revision: services.fold.state.configurationRevision
    }))
  }

  /**
   * Runs a statement. The parser is loaded with the first one: it takes a third of the memory that
   * a resting host may have, and most hosts are asked for nothing for hours.
   */
  async run (request: OperatorRequest, identity: OperatorIdentity): Promise<Result<RowsAnswer | CommandAnswer>> {
    const { parseStatement } = await import('../../../core/common/language/parser.ts')
    const statement = parseStatement(request.statement)
    if (!statement.ok) return statement
    return statement.value.type === 'show'
      ? await this.show(statement.value)
      : await this.command(statement.value.command, request, identity)
  }

  private async show (statement: ShowStatement): Promise<Result<RowsAnswer>> {
    const { fold, views, membership } = this.services
    if (statement.subscription !== undefined && fold.state.configuration.subscription[statement.subscription] === undefined) {
      return failure('notFound', `there is no subscription ${statement.subscription}`)
    }
    const here = { host: membership.self.host, offset: fold.state.offset }
    const shared = views.shared(statement)
    if (shared !== undefined) return success({ type: 'rows', rows: filterRows(shared, statement.conditions), sources: [here], silent: [] })
    const others = membership.members().filter((member) => member.host !== membership.self.host && member.status !== 'dead')
    const answers = await Promise.all(others.map(async (member) => ({
      member,
      answer: await this.services.peers.call(member.address, 'query.rows', { view: statement.view }, FAN_OUT_TIMEOUT_MS)
    })))
    const parts = answers.flatMap(({ member, answer }) => answer.ok ? [{ host: member.host, rows: answer.value.rows, offset: answer.value.offset }] : [])
    const rows = [...views.local(statement.view), ...parts.flatMap((part) => part.rows)]
    return success({
      type: 'rows',
      rows: filterRows(views.merge(statement.view, rows), statement.conditions),
      sources: [here, ...parts.map(({ host, offset }) => ({ host, offset }))],
      silent: answers.filter(({ answer }) => !answer.ok).map(({ member }) => member.host)
    })
  }

  private async command (command: Command, request: OperatorRequest, identity: OperatorIdentity): Promise<Result<CommandAnswer>> {
    const id = request.id ?? this.services.chance.id()
    const record = { kind: 'command', id: `${identity.name}:${id}`, at: this.services.clock.wall(), by: identity.name, command } as const
    const decided = await this.services.appender.decide(record, this.verdictWaitMs)
    if (!decided.ok) return decided
    const verdict = decided.value.result as Result<number>
    if (!verdict.ok) return verdict
    const accepted: CommandAnswer = { type: 'accepted', id, revision: verdict.value }
    return success(request.wait === true ? { ...accepted, ...await this.confirm(this.services.fold.state.offset) } : accepted)
  }

  /** Asks the live hosts until all have folded up to the offset, or the wait ends. */
  private async confirm (offset: number): Promise<{ confirmed: string[], unconfirmed: string[] }> {
    const until = this.services.clock.monotonic() + this.verdictWaitMs
    const { membership } = this.services
    const confirmed = new Set<string>([membership.self.host])
    for (;;) {
      const open = membership.members().filter((member) => member.status !== 'dead' && !confirmed.has(member.host))
      if (open.length === 0 || this.services.clock.monotonic() >= until) return { confirmed: [...confirmed], unconfirmed: open.map((member) => member.host) }
      await Promise.all(open.map(async (member) => {
        const answer = await this.services.peers.call(member.address, 'query.rows', { view: 'none' }, FAN_OUT_TIMEOUT_MS)
        if (answer.ok && answer.value.offset >= offset) confirmed.add(member.host)
      }))
      await pause(this.services.clock, CONFIRM_EVERY_MS)
    }
  }
}
