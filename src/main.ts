/**
 * Entry point of the program. Starting a host bypasses the interactive command line and loads only the type of host that
 * the settings ask for. Otherwise, when a whole deployment restarts, each host spends a third more processor time on
 * modules that it never uses, and answers its first callers that much later.
 */

import type { HostSettings } from './settings/node/readSettings.ts'
import { readSettings } from './settings/node/readSettings.ts'
import { reportInvalidSettings } from './settings/node/reportInvalidSettings.ts'

const EXIT_FAILED = 1

interface RunningHost {
  /** Reads the settings again. Absent if the host does not support reloading. */
  readonly reloadSettings?: () => void
  stop (): Promise<void>
}

async function startHost (host: HostSettings, path: string): Promise<RunningHost> {
  switch (host.type) {
    case 'routes': return await (await import('./host/node/routedHost.ts')).startRoutedHost(host.settings, () => readSettings(path))
    case 'pools': return await (await import('./host/node/entryHost.ts')).startEntryHost(host.settings)
  }
}

async function serve (path: string): Promise<void> {
  const settings = readSettings(path)
  if (!settings.ok) return reportInvalidSettings(settings)
  process.on('unhandledRejection', (reason) => { process.stderr.write(`${JSON.stringify({ type: 'alarm', what: 'unhandled rejection', error: String(reason) })}\n`) })
  const host = await startHost(settings.value, path)
  const stop = (): void => { host.stop().then(() => process.exit(0), () => process.exit(EXIT_FAILED)) }
  process.on('SIGTERM', stop)
  process.on('SIGINT', stop)
  process.on('SIGHUP', () => { host.reloadSettings?.() })
}

/** Starts a host for `serve --settings PATH`, which is how a platform starts one; passes all other arguments to the command line. */
async function main (argv: readonly string[]): Promise<void> {
  const [command, option, path] = argv
  if (argv.length === 3 && command === 'serve' && option === '--settings' && path !== undefined) return await serve(path)
  await (await import('./commandLine/node/commandLine.ts')).runCommand(argv, serve)
}

main(process.argv.slice(2)).catch((error: unknown) => {
  process.stderr.write(`${String(error)}\n`)
  process.exitCode = EXIT_FAILED
})
