/**
 * Parser of the query and command language, built with chevrotain.
 *
 *   show targets where place = "Abdali" and weights < 41
 *   show samples of subscription drafter
 *   show audit since 10m
 *   create pool drafter copies 6
 *   set lane urgent priority 2 if revision = 118
 *   remove lane urgent
 *   drain target drafter-1      restore target drafter-1
 *   load weights 42 on pool drafter
 */

import type { IToken, TokenType } from 'chevrotain'
import { EmbeddedActionsParser, EOF, Lexer, createToken } from 'chevrotain'
import type { Result } from '../../../base/common/resultCode.ts'
import { failure, success } from '../../../base/common/resultCode.ts'
import type { Command, ObjectKind, PropertyValue } from '../fold/command.ts'
import { commandSchema, objectKinds, objectSchemas } from '../fold/command.ts'
import { parserErrorMessages } from './parserErrorMessages.ts'
import type { Comparison, Condition, ShowStatement, Statement, ViewName } from './statement.ts'
import { viewNames } from './statement.ts'

/** Maximum number of characters in a statement. */
export const MAX_STATEMENT_LENGTH = 4096

const Word = createToken({ name: 'Word', pattern: /[A-Za-z_][\w.:-]*/ })
const keyword = (name: string): TokenType => createToken({ name: name.toUpperCase(), pattern: new RegExp(name), longer_alt: Word })
const Show = keyword('show')
const Create = keyword('create')
const SetVerb = keyword('set')
const Remove = keyword('remove')
const Drain = keyword('drain')
const Restore = keyword('restore')
const Load = keyword('load')
const Where = keyword('where')
const And = keyword('and')
const Of = keyword('of')
const On = keyword('on')
const Since = keyword('since')
const If = keyword('if')
const keywords = [Show, Create, SetVerb, Remove, Drain, Restore, Load, Where, And, Of, On, Since, If]
const Duration = createToken({ name: 'Duration', pattern: /\d+(?:\.\d+)?(?:ms|s|m|h)\b/ })
const NumberLiteral = createToken({ name: 'Number', pattern: /-?\d+(?:\.\d+)?\b/ })
const StringLiteral = createToken({ name: 'String', pattern: /"(?:[^"\\]|\\.)*"/ })
const Operator = createToken({ name: 'Comparison', pattern: /!=|<=|>=|=|<|>/ })
const WhiteSpace = createToken({ name: 'WhiteSpace', pattern: /\s+/, group: Lexer.SKIPPED })
const tokens = [WhiteSpace, ...keywords, Duration, NumberLiteral, StringLiteral, Operator, Word]
const lexer = new Lexer(tokens, { positionTracking: 'full' })

const millisecondsPerUnit = { ms: 1, s: 1000, m: 60_000, h: 3_600_000 } as const

/** A semantic error at a token, detected after the grammar matched. */
class StatementError extends Error {
  constructor (message: string, readonly token: IToken) {
    super(message)
  }
}

class StatementParser extends EmbeddedActionsParser {
  constructor () {
    super(tokens, { errorMessageProvider: parserErrorMessages })
    this.performSelfAnalysis()
  }

  readonly statement = this.RULE('statement', (): Statement => {
    const statement = this.OR<Statement>([
      { ALT: () => this.SUBRULE(this.show) },
      { ALT: () => this.SUBRULE(this.create) },
      { ALT: () => this.SUBRULE(this.set) },
      { ALT: () => this.SUBRULE(this.remove) },
      { ALT: () => this.SUBRULE(this.drain) },
      { ALT: () => this.SUBRULE(this.load) }
    ])
    this.CONSUME(EOF)
    return statement
  })

  private readonly show = this.RULE('show', (): ShowStatement => {
    this.CONSUME(Show)
    const view = this.CONSUME(Word)
    let subscription: string | undefined
    this.OPTION(() => {
      this.CONSUME(Of)
      const kind = this.CONSUME2(Word)
      subscription = this.SUBRULE(this.name)
      this.ACTION(() => {
        if (kind.image !== 'subscription') throw new StatementError('expected: subscription', kind)
      })
    })
    const conditions: Condition[] = []
    this.OPTION2(() => {
      this.CONSUME(Where)
      this.AT_LEAST_ONE_SEP({ SEP: And, DEF: () => { conditions.push(this.SUBRULE(this.condition)) } })
    })
    let sinceMs: number | undefined
    this.OPTION3(() => {
      this.CONSUME(Since)
      const duration = this.CONSUME(Duration)
      sinceMs = this.ACTION(() => parseDuration(duration.image))
    })
    return this.ACTION(() => {
      if (!(viewNames as readonly string[]).includes(view.image)) throw new StatementError(`expected one of: ${viewNames.join(', ')}`, view)
      if (view.image === 'samples' && subscription === undefined) throw new StatementError('expected: samples of subscription NAME', view)
      return {
        type: 'show' as const,
        view: view.image as ViewName,
        ...(subscription === undefined ? {} : { subscription }),
        conditions,
        ...(sinceMs === undefined ? {} : { sinceMs })
      }
    })
  })

  private readonly condition = this.RULE('condition', (): Condition => {
    const field = this.CONSUME(Word)
    const comparison = this.CONSUME(Operator)
    const value = this.SUBRULE(this.value)
    return { field: field.image, comparison: comparison.image as Comparison, value }
  })

  private readonly create = this.RULE('create', (): Statement => {
    this.CONSUME(Create)
    const kind = this.SUBRULE(this.kind)
    const name = this.SUBRULE(this.name)
    const properties = this.SUBRULE(this.properties, { ARGS: [kind] })
    return { type: 'command', command: { verb: 'create', kind, name, properties } }
  })

  private readonly set = this.RULE('set', (): Statement => {
    this.CONSUME(SetVerb)
    const kind = this.SUBRULE(this.kind)
    const name = this.SUBRULE(this.name)
    const properties = this.SUBRULE(this.properties, { ARGS: [kind] })
    const condition = this.SUBRULE(this.ifRevision)
    return { type: 'command', command: { verb: 'set', kind, name, properties, ...condition } }
  })

  private readonly remove = this.RULE('remove', (): Statement => {
    this.CONSUME(Remove)
    const kind = this.SUBRULE(this.kind)
    const name = this.SUBRULE(this.name)
    const condition = this.SUBRULE(this.ifRevision)
    return { type: 'command', command: { verb: 'remove', kind, name, ...condition } }
  })

  private readonly drain = this.RULE('drain', (): Statement => {
    const verb = this.OR([
      { ALT: () => { this.CONSUME(Drain); return 'drain' as const } },
      { ALT: () => { this.CONSUME(Restore); return 'restore' as const } }
    ])
    const kind = this.CONSUME(Word)
    const target = this.SUBRULE(this.name)
    const condition = this.SUBRULE(this.ifRevision)
    this.ACTION(() => {
      if (kind.image !== 'target') throw new StatementError('expected: target', kind)
    })
    return { type: 'command', command: { verb, target, ...condition } }
  })

  private readonly load = this.RULE('load', (): Statement => {
    this.CONSUME(Load)
    const what = this.CONSUME(Word)
    const version = this.CONSUME(NumberLiteral)
    this.CONSUME(On)
    const kind = this.CONSUME2(Word)
    const pool = this.SUBRULE(this.name)
    const condition = this.SUBRULE(this.ifRevision)
    this.ACTION(() => {
      if (what.image !== 'weights') throw new StatementError('expected: weights', what)
      if (kind.image !== 'pool') throw new StatementError('expected: pool', kind)
    })
    return { type: 'command', command: { verb: 'load', pool, version: Number(version.image), ...condition } }
  })

  private readonly kind = this.RULE('kind', (): ObjectKind => {
    const word = this.CONSUME(Word)
    return this.ACTION(() => {
      if (!(objectKinds as string[]).includes(word.image)) throw new StatementError(`expected one of: ${objectKinds.join(', ')}`, word)
      return word.image as ObjectKind
    })
  })

  private readonly name = this.RULE('name', (): string => this.OR([
    { ALT: () => this.CONSUME(Word).image },
    { ALT: () => { const literal = this.CONSUME(StringLiteral); return this.ACTION(() => unquote(literal)) } }
  ]))

  private readonly properties = this.RULE('properties', (kind: ObjectKind): Record<string, PropertyValue> => {
    const properties: Record<string, PropertyValue> = {}
    this.MANY(() => {
      const key = this.CONSUME(Word)
      const value = this.SUBRULE(this.value)
      this.ACTION(() => {
        const knownProperties = Object.keys(objectSchemas[kind].shape)
        if (!knownProperties.includes(key.image)) throw new StatementError(`unknown property ${key.image}; a ${kind} has: ${knownProperties.join(', ')}`, key)
        if (Object.hasOwn(properties, key.image)) throw new StatementError(`duplicate property ${key.image}`, key)
        properties[key.image] = value
      })
    })
    return properties
  })

  private readonly value = this.RULE('value', (): PropertyValue => this.OR<PropertyValue>([
    { ALT: () => { const literal = this.CONSUME(StringLiteral); return this.ACTION(() => unquote(literal)) } },
    { ALT: () => { const literal = this.CONSUME(Duration); return this.ACTION(() => parseDuration(literal.image)) } },
    { ALT: () => Number(this.CONSUME(NumberLiteral).image) },
    { ALT: () => { const word = this.CONSUME(Word).image; return word === 'true' ? true : word === 'false' ? false : word } }
  ]))

  private readonly ifRevision = this.RULE('ifRevision', (): { ifRevision?: number } => {
    let revision: number | undefined
    this.OPTION(() => {
      this.CONSUME(If)
      const word = this.CONSUME(Word)
      const operator = this.CONSUME(Operator)
      revision = Number(this.CONSUME(NumberLiteral).image)
      this.ACTION(() => {
        if (word.image !== 'revision') throw new StatementError('expected: revision', word)
        if (operator.image !== '=') throw new StatementError('expected: =', operator)
      })
    })
    return revision === undefined ? {} : { ifRevision: revision }
  })
}

function parseDuration (image: string): number {
  const match = /^([\d.]+)(ms|s|m|h)$/.exec(image)
  return Math.round(Number(match?.[1]) * millisecondsPerUnit[match?.[2] as keyof typeof millisecondsPerUnit])
}

function unquote (token: IToken): string {
  try {
    return JSON.parse(token.image) as string
  } catch {
    throw new StatementError('invalid string: use the syntax of JSON strings', token)
  }
}

const parser = new StatementParser()

/** Parses one statement. An error names its column, counted from 1. */
export function parseStatement (text: string): Result<Statement> {
  if (text.length > MAX_STATEMENT_LENGTH) return failure('tooLarge', `statement too long: got ${text.length} characters, at most ${MAX_STATEMENT_LENGTH} are allowed`)
  const lexingResult = lexer.tokenize(text)
  const lexingError = lexingResult.errors[0]
  if (lexingError !== undefined) return failure('syntax', `unexpected character ${JSON.stringify(text[lexingError.offset])}`, { column: lexingError.offset + 1 })
  parser.input = lexingResult.tokens
  try {
    const statement = parser.statement()
    const error = parser.errors[0]
    if (error !== undefined) return failure('syntax', error.message, { column: columnOf(error.token, text) })
    return validateCommand(statement)
  } catch (error) {
    if (!(error instanceof StatementError)) throw error
    return failure('syntax', error.message, { column: columnOf(error.token, text) })
  }
}

function columnOf (token: IToken, text: string): number {
  return Number.isNaN(token.startOffset) ? text.length + 1 : token.startOffset + 1
}

function validateCommand (statement: Statement): Result<Statement> {
  if (statement.type === 'show') return success(statement)
  const parsed = commandSchema.safeParse(statement.command)
  if (!parsed.success) return failure('malformed', parsed.error.issues.map((issue) => `${issue.path.join('.')}: ${issue.message}`).join('; '))
  return success({ type: 'command', command: parsed.data as Command })
}
