/**
 * The command line: `check` validates a settings file, `query` and `order` send statements of operators, `explain` shows
 * from log files what happened to a request, item or step, and `losses` shows why steps were late.
 */

import { randomUUID } from 'node:crypto'
import yargs from 'yargs'
import type { Result } from '../../base/common/resultCode.ts'
import { resultCodes } from '../../base/common/resultCode.ts'
import { readSettings } from '../../settings/node/readSettings.ts'
import { EXIT_USAGE, reportInvalidSettings } from '../../settings/node/reportInvalidSettings.ts'
import { explainFromFiles, lossesFromFiles } from './explainCommand.ts'
import { formatAnswer, formatError, sendStatement } from './operatorClient.ts'

const EXIT_FAILED = 1

function checkSettings (path: string): void {
  const settings = readSettings(path)
  if (settings.ok) process.stdout.write(`${path} is in order\n`)
  else reportInvalidSettings(settings)
}

function printResult (result: Result<string>): void {
  if (result.ok) {
    process.stdout.write(`${result.value}\n`)
    return
  }
  process.stderr.write(`${resultCodes[result.code].number} ${result.code}: ${result.message}\n`)
  process.exitCode = EXIT_FAILED
}

interface StatementOptions {
  readonly host: readonly string[]
  readonly key: string
  readonly json: boolean
  readonly wait: boolean
  readonly id: string | undefined
  readonly timeout: number
}

async function runStatement (statementParts: readonly string[], options: StatementOptions): Promise<void> {
  const text = statementParts.join(' ')
  const outcome = await sendStatement({ hosts: options.host, key: options.key, statement: text, wait: options.wait, id: options.id ?? randomUUID(), timeoutMs: options.timeout })
  if (!outcome.ok) {
    process.stderr.write(`${resultCodes[outcome.code].number} ${outcome.code}: ${outcome.message}\n`)
    process.exitCode = EXIT_FAILED
    return
  }
  const { value } = outcome
  if (value.type === 'answer') {
    process.stdout.write(`${options.json ? JSON.stringify(value.answer) : formatAnswer(value.answer)}\n`)
    return
  }
  process.stderr.write(`${options.json ? JSON.stringify({ error: value.error }) : formatError(value.error, text)}\n`)
  process.exitCode = EXIT_FAILED
}

/** Parses the arguments and runs a command. The `serve` callback starts a host. */
export async function runCommand (argv: readonly string[], serve: (settings: string) => Promise<void>): Promise<void> {
  const clientOptions = {
    host: { type: 'string', array: true, demandOption: true, requiresArg: true, describe: 'address of a host, http://IP:PORT; can be repeated' },
    key: { type: 'string', default: process.env.BULRUSHVALVE_KEY ?? '', describe: 'key of the operator; defaults to BULRUSHVALVE_KEY' },
    json: { type: 'boolean', default: false, describe: 'print the answer as JSON' },
    wait: { type: 'boolean', default: false, describe: 'wait until the change is in force on all live hosts' },
    id: { type: 'string', describe: 'id of the command; repeating a command with the same id has no further effect' },
    timeout: { type: 'number', default: 10_000, describe: 'time limit for each host, in milliseconds' }
  } as const
  await yargs([...argv])
    .scriptName('bulrushvalve')
    .command('serve', 'run an entry host', (command) => command.option('settings', { type: 'string', demandOption: true }), async ({ settings }) => { await serve(settings) })
    .command('check', 'check a settings file', (command) => command.option('settings', { type: 'string', demandOption: true }), ({ settings }) => { checkSettings(settings) })
    .command('query <statement..>', 'run a query, for example: show targets where place = "Abdali"', (command) => command.positional('statement', { type: 'string', array: true, demandOption: true }).options(clientOptions), async (options) => { await runStatement(options.statement, options) })
    .command('order <statement..>', 'change the configuration, for example: set lane desk priority 2 if revision = 118', (command) => command.positional('statement', { type: 'string', array: true, demandOption: true }).options(clientOptions), async (options) => { await runStatement(options.statement, options) })
    .command('explain <id> <files..>', 'show from log files what happened to a request, an item or a step', (command) => command.positional('id', { type: 'string', demandOption: true }).positional('files', { type: 'string', array: true, demandOption: true }), async ({ id, files }) => { printResult(await explainFromFiles(id, files)) })
    .command('losses <files..>', 'rank the delays of steps from log files, and show where the time was spent', (command) => command.positional('files', { type: 'string', array: true, demandOption: true }), async ({ files }) => { printResult(await lossesFromFiles(files)) })
    .demandCommand(1, 'expected one of: serve, check, query, order, explain, losses')
    .strict()
    .help()
    .fail((message, error) => {
      process.stderr.write(`${message ?? error.message}\n`)
      process.exitCode = EXIT_USAGE
    })
    .parseAsync()
}
