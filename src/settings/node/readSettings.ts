/** Reads a settings file: TOML, checked whole, every mistake listed with its line and key. */

import { readFileSync } from 'node:fs'
import { parse, TomlError } from 'smol-toml'
import type { Result } from '../../base/common/resultCode.ts'
import { failure, success } from '../../base/common/resultCode.ts'
import type { z } from 'zod'
import type { RoutedSettings } from '../common/routedSettings.ts'
import { routedSettingsSchema } from '../common/routedSettings.ts'
import type { Settings } from '../common/settings.ts'
import { settingsSchema } from '../common/settings.ts'

/** Settings of a host; a table `store` makes it one that serves routes and steps. */
export type HostSettings =
  | { readonly type: 'pools', readonly settings: Settings }
  | { readonly type: 'routes', readonly settings: RoutedSettings }

/** Reads and checks a file. */
export function readSettings (path: string): Result<HostSettings> {
  let text: string
  try {
    text = readFileSync(path, 'utf8')
  } catch (error) {
    return failure('invalidSettings', `${path}: ${(error as Error).message}`)
  }
  return parseSettings(text)
}

/** Checks the text of a settings file. */
export function parseSettings (text: string): Result<HostSettings> {
  const parsed = parseToml(text)
  if (!parsed.ok) return parsed
  if ('store' in parsed.value) {
    const routed = check(text, parsed.value, routedSettingsSchema)
    return routed.ok ? success({ type: 'routes', settings: routed.value }) : routed
  }
  const pooled = check(text, parsed.value, settingsSchema)
  return pooled.ok ? success({ type: 'pools', settings: pooled.value }) : pooled
}

/** Checks a TOML text against a schema; every mistake is told with its line. */
export function parseChecked<Schema extends z.ZodType> (text: string, schema: Schema): Result<z.infer<Schema>> {
  const parsed = parseToml(text)
  return parsed.ok ? check(text, parsed.value, schema) : parsed
}

function parseToml (text: string): Result<Record<string, unknown>> {
  try {
    return success(parse(text))
  } catch (error) {
    if (!(error instanceof TomlError)) throw error
    return failure('invalidSettings', `line ${error.line}: ${error.message.split('\n')[0] ?? ''}`)
  }
}

function check<Schema extends z.ZodType> (text: string, parsed: unknown, schema: Schema): Result<z.infer<Schema>> {
  const checked = schema.safeParse(parsed)
  if (checked.success) return success(checked.data)
  const mistakes = checked.error.issues.flatMap((issue) => issue.code === 'unrecognized_keys'
    ? issue.keys.map((unknownKey) => describe(text, [...issue.path, unknownKey], 'this key is not known'))
    : [describe(text, issue.path, issue.message)])
  return failure('invalidSettings', mistakes.join('\n'))
}

function describe (text: string, path: readonly PropertyKey[], message: string): string {
  return `line ${lineOf(text, path)}: ${path.map(String).join('.')}: ${message}`
}

/** Finds the line of a key, or that of its table where the key is missing. */
function lineOf (text: string, path: readonly PropertyKey[]): number {
  const [table, ...rest] = path
  const wantedItem = typeof rest[0] === 'number' ? rest[0] : undefined
  const key = rest.findLast((part) => typeof part === 'string') ?? table
  let inside = false
  let item = -1
  let tableLine = 1
  for (const [index, line] of text.split('\n').entries()) {
    const header = /^\s*\[\[?\s*([\w.-]+)\s*\]\]?/.exec(line)?.[1]
    if (header !== undefined) {
      inside = header === table && (wantedItem === undefined || ++item === wantedItem)
      if (inside) tableLine = index + 1
      continue
    }
    const lineKey = /^\s*([\w-]+)\s*=/.exec(line)?.[1]
    if (inside && lineKey === key) return index + 1
  }
  return tableLine
}
