/** Writes docs/RESULT-CODES.md and docs/SETTINGS.md from the tables of the program; a test compares them. */

import { writeFileSync } from 'node:fs'
import { z } from 'zod'
import { scrapedName } from '../src/adapters/node/scrapedMetrics.ts'
import { logEvents } from '../src/base/common/logEvents.ts'
import { counters, gauges, timings } from '../src/base/common/metricNames.ts'
import { resultCodes } from '../src/base/common/resultCode.ts'
import { objectSchemas } from '../src/core/common/fold/command.ts'
import { routedSettingsSchema } from '../src/settings/common/routedSettings.ts'
import { settingsSchema } from '../src/settings/common/settings.ts'

interface JsonSchema {
  readonly type?: string
  readonly description?: string
  readonly default?: unknown
  readonly enum?: readonly unknown[]
  readonly properties?: Readonly<Record<string, JsonSchema>>
  readonly required?: readonly string[]
  readonly items?: JsonSchema
}

export function resultCodesPage (): string {
  const rows = Object.entries(resultCodes).map(([name, { number, status, effect, meaning }]) => `| ${number} | ${name} | ${status} | ${effect} | ${meaning} |`)
  return `# Result codes

Written by tools/references.ts. Every refusal and failure has the body
\`{"error":{"number","code","effect","message", ...}}\`, where \`effect\` is \`not-run\` (it surely had no
effect; \`retry_after_ms\` says when to come back and \`alternatives\` where else to go),
\`unknown-outcome\` (it may have had one) or \`rejected\` (the input or the state forbids it).
\`column\` is that of a syntax error, \`revision\` the one that beat a conditional command.

| number | code | HTTP | effect | meaning |
| --- | --- | --- | --- | --- |
${rows.join('\n')}
`
}

function rowsOf (schema: JsonSchema, prefix: string): string[] {
  return Object.entries(schema.properties ?? {}).flatMap(([key, value]) => {
    const name = `${prefix}${key}`
    if (value.type === 'object') return [`| **${name}** | | ${value.description ?? ''} |`, ...rowsOf(value, `${name}.`)]
    if (value.type === 'array' && value.items?.type === 'object') return [`| **${name}[]** | | ${value.description ?? ''} |`, ...rowsOf(value.items, `${name}[].`)]
    const given = value.default === undefined ? (schema.required?.includes(key) === true ? 'must be given' : 'none') : `\`${JSON.stringify(value.default)}\``
    const choice = value.enum === undefined ? '' : ` (${value.enum.join(', ')})`
    return [`| ${name} | ${given} | ${value.description ?? ''}${choice} |`]
  })
}

export function settingsPage (): string {
  const settings = z.toJSONSchema(settingsSchema, { io: 'input' }) as JsonSchema
  const routed = z.toJSONSchema(routedSettingsSchema, { io: 'input' }) as JsonSchema
  const objects = Object.entries(objectSchemas).flatMap(([kind, schema]) => [`| **${kind}** | | |`, ...rowsOf(z.toJSONSchema(schema, { io: 'input' }) as JsonSchema, `${kind}.`)])
  return `# Settings

Written by tools/references.ts. A host reads one TOML file; \`bulrushvalve check --settings FILE\` lists
every mistake with its line. What several hosts must agree on is not here: it is configured by
commands and lies in the log (last table). With a table \`store\` the host serves routes and steps over
a store of keyed topics (second table), without it pools and subscriptions over a log (first table).

| key | default | meaning |
| --- | --- | --- |
${rowsOf(settings, '').join('\n')}

## A host of routes and steps

| key | default | meaning |
| --- | --- | --- |
${rowsOf(routed, '').join('\n')}

## Configured objects

| property | default | meaning |
| --- | --- | --- |
${objects.join('\n')}
`
}

export function logsPage (): string {
  const rows = (events: Readonly<Record<string, string>>): string => Object.entries(events).map(([name, meaning]) => `| ${name} | ${meaning} |`).join('\n')
  return `# Log lines

Written by tools/references.ts. A host writes one JSON object a line to standard output: \`time\`, \`host\`
(machine and life), \`type\`, \`what\`, and the details of the event. Nothing waits for a reader: at most
100 lines of decisions a second and one more for each item under way (500 in all), 100 of failed ones (\`failed\`: true) and 400 of
those that tell what became of a step are written, and none while 512 KiB wait for a reader; what is left out is counted by event in a line \`log lines dropped\`. Lines of the
types \`changed\` and \`alarm\` are not limited by the second. \`bulrushvalve explain ID FILE...\` puts the
lines about one request, item or step in order.

## changed: what a process believes

| event | meaning |
| --- | --- |
${rows(logEvents.changed)}

## alarm: an operator may have to act

| event | meaning |
| --- | --- |
${rows(logEvents.alarm)}

## decided: requests, steps, orders

| event | meaning |
| --- | --- |
${rows(logEvents.decided)}
`
}

export function metricsPage (): string {
  const rows = (names: Readonly<Record<string, string>>, end: string): string => Object.entries(names).map(([name, meaning]) => `| ${name} | ${scrapedName(name)}${end} | ${meaning} |`).join('\n')
  return `# Counters and measures

Written by tools/references.ts. With \`metrics.listen\` a host serves them as text under \`/metrics\`; with
\`metrics.collector\` it sends them by StatsD. Counters begin at 0 with each start. Those of
\`completions\`, \`orders.failed\`, \`refused\`, \`rollouts.ended\`, \`services\`, \`front.refused\` and \`task\` are
also counted by result code or task, in the label \`code\`. The text has gauges first, then counters that
are not zero, both without comments, then histograms; \`bulrushvalve_host_info\` names the host once.

| counter | scraped as | meaning |
| --- | --- | --- |
${rows(counters, '_total')}

| gauge | scraped as | meaning |
| --- | --- | --- |
${rows(gauges, '')}

| histogram, milliseconds | scraped as | meaning |
| --- | --- | --- |
${rows(timings, '_milliseconds')}
`
}

if (process.argv[1]?.endsWith('references.ts') === true) {
  writeFileSync('docs/RESULT-CODES.md', resultCodesPage())
  writeFileSync('docs/SETTINGS.md', settingsPage())
  writeFileSync('docs/LOGS.md', logsPage())
  writeFileSync('docs/METRICS.md', metricsPage())
}
