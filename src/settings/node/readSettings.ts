/** Reads and validates a TOML settings file, and reports all errors with their lines and keys. */

import { readFileSync } from 'node:fs'
import { parse, TomlError } from 'smol-toml'
import type { Result } from '../../base/common/resultCode.ts'
import { failure, success } from '../../base/common/resultCode.ts'
import type { z } from 'zod'
import type { RoutedSettings } from '../common/routedSettings.ts'
import { routedSettingsSchema } from '../common/routedSettings.ts'
import type { Settings } from '../common/settings.ts'
import { settingsSchema } from '../common/settings.ts'

/** Settings of a host. A host whose settings have a `store` table serves routes and steps. */
export type HostSettings =
  | { readonly type: 'pools', readonly settings: Settings }
  | { readonly type: 'routes', readonly settings: RoutedSettings }

/** Reads and validates a settings file. */
export function readSettings (path: string): Result<HostSettings> {
  let text: string
  try {
    text = readFileSync(path, 'utf8')
  } catch (error) {
    return failure('invalidSettings', `${path}: ${(error as Error).message}`)
  }
  return parseSettings(text)
}

/** Parses and validates the text of a settings file. */
export function parseSettings (text: string): Result<HostSettings> {
  const parsed = parseToml(text)
  if (!parsed.ok) return parsed
  if ('store' in parsed.value) {
    const routedSettings = validate(text, parsed.value, routedSettingsSchema)
    return routedSettings.ok ? success({ type: 'routes', settings: routedSettings.value }) : routedSettings
  }
  const poolSettings = validate(text, parsed.value, settingsSchema)
  return poolSettings.ok ? success({ type: 'pools', settings: poolSettings.value }) : poolSettings
}

/** Parses TOML text and validates it against a schema. Reports each error with its line. */
export function parseWithSchema<Schema extends z.ZodType> (text: string, schema: Schema): Result<z.infer<Schema>> {
  const parsed = parseToml(text)
  return parsed.ok ? validate(text, parsed.value, schema) : parsed
}

function parseToml (text: string): Result<Record<string, unknown>> {
  try {
    return success(parse(text))
  } catch (error) {
    if (!(error instanceof TomlError)) throw error
    return failure('invalidSettings', `line ${error.line}: ${error.message.split('\n')[0] ?? ''}`)
  }
}

function validate<Schema extends z.ZodType> (text: string, parsed: unknown, schema: Schema): Result<z.infer<Schema>> {
  const checked = schema.safeParse(parsed)
  if (checked.success) return success(checked.data)
  const issues = checked.error.issues.flatMap((issue) => issue.code === 'unrecognized_keys'
    ? issue.keys.map((unknownKey) => formatIssue(text, [...issue.path, unknownKey], 'unknown key'))
    : [formatIssue(text, issue.path, issue.message)])
  return failure('invalidSettings', issues.join('\n'))
}

function formatIssue (text: string, path: readonly PropertyKey[], message: string): string {
  return `line ${findLine(text, path)}: ${path.map(String).join('.')}: ${message}`
}

/** Finds the line of a key, or the line of its table if the key is missing. */
function findLine (text: string, path: readonly PropertyKey[]): number {
  const [table, ...rest] = path
  const itemIndex = typeof rest[0] === 'number' ? rest[0] : undefined
  const key = rest.findLast((part) => typeof part === 'string') ?? table
  let insideTable = false
  let currentItem = -1
  let tableLine = 1
  for (const [index, line] of text.split('\n').entries()) {
    const header = /^\s*\[\[?\s*([\w.-]+)\s*\]\]?/.exec(line)?.[1]
    if (header !== undefined) {
      insideTable = header === table && (itemIndex === undefined || ++currentItem === itemIndex)
      if (insideTable) tableLine = index + 1
      continue
    }
    const lineKey = /^\s*([\w-]+)\s*=/.exec(line)?.[1]
    if (insideTable && lineKey === key) return index + 1
  }
  return tableLine
}
