/**
 * The command line for people: `check` reads a settings file, `query` and `order` are for operators, `explain` is for
 * whoever asks what became of a request, `losses` for whoever asks why steps were late.
 */

import { randomUUID } from 'node:crypto'
import yargs from 'yargs'
import type { Result } from '../../base/common/resultCode.ts'
import { resultCodes } from '../../base/common/resultCode.ts'
import { readSettings } from '../../settings/node/readSettings.ts'
import { EXIT_USAGE, refuseSettings } from '../../settings/node/refuseSettings.ts'
import { explainFromFiles, lossesFromFiles } from './explainCommand.ts'
import { formatAnswer, formatRefusal, sendStatement } from './operatorClient.ts'

const EXIT_FAILED = 1

function check (path: string): void {
  const settings = readSettings(path)
  if (settings.ok) process.stdout.write(`${path} is in order\n`)
  else refuseSettings(settings)
}

function print (text: Result<string>): void {
  if (text.ok) {
    process.stdout.write(`${text.value}\n`)
    return
  }
  process.stderr.write(`${resultCodes[text.code].number} ${text.code}: ${text.message}\n`)
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

async function statement (words: readonly string[], options: StatementOptions): Promise<void> {
  const text = words.join(' ')
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
  process.stderr.write(`${options.json ? JSON.stringify({ error: value.error }) : formatRefusal(value.error, text)}\n`)
  process.exitCode = EXIT_FAILED
}

/** Runs one command; `serve` starts a host. */
export async function runCommand (argv: readonly string[], serve: (settings: string) => Promise<void>): Promise<void> {
  const client = {
    host: { type: 'string', array: true, demandOption: true, requiresArg: true, describe: 'address of a host, http://IP:PORT; may be given more than once' },
    key: { type: 'string', default: process.env.BULRUSHVALVE_KEY ?? '', describe: "operator's key; from BULRUSHVALVE_KEY where absent" },
    json: { type: 'boolean', default: false, describe: 'print the answer as JSON' },
    wait: { type: 'boolean', default: false, describe: 'answer once the change is in force on all live hosts' },
    id: { type: 'string', describe: 'id of the command; repeating it is harmless' },
    timeout: { type: 'number', default: 10_000, describe: 'milliseconds to wait for each host' }
  } as const
  await yargs([...argv])
    .scriptName('bulrushvalve')
    .command('serve', 'run an entry host', (command) => command.option('settings', { type: 'string', demandOption: true }), async ({ settings }) => { await serve(settings) })
    .command('check', 'check a settings file', (command) => command.option('settings', { type: 'string', demandOption: true }), ({ settings }) => { check(settings) })
    .command('query <statement..>', 'ask: show targets where place = "Abdali"', (command) => command.positional('statement', { type: 'string', array: true, demandOption: true }).options(client), async (options) => { await statement(options.statement, options) })
    .command('order <statement..>', 'change: set lane desk priority 2 if revision = 118', (command) => command.positional('statement', { type: 'string', array: true, demandOption: true }).options(client), async (options) => { await statement(options.statement, options) })
    .command('explain <id> <files..>', 'tell from log files what became of a request, an item or a step', (command) => command.positional('id', { type: 'string', demandOption: true }).positional('files', { type: 'string', array: true, demandOption: true }), async ({ id, files }) => { print(await explainFromFiles(id, files)) })
    .command('losses <files..>', 'rank from log files what of the steps was late, and where the time went', (command) => command.positional('files', { type: 'string', array: true, demandOption: true }), async ({ files }) => { print(await lossesFromFiles(files)) })
    .demandCommand(1, 'one of: serve, check, query, order, explain, losses')
    .strict()
    .help()
    .fail((message, error) => {
      process.stderr.write(`${message ?? error.message}\n`)
      process.exitCode = EXIT_USAGE
    })
    .parseAsync()
}
