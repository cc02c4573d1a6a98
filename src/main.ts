/**
 * The program. A host's own start goes past the command line for people, and loads only the kind of host that its settings
 * ask for. What goes wrong otherwise: when a whole deployment starts again, each host spends a third more of its processor
 * on modules that it never uses, and answers its first callers that much later.
 */

import type { HostSettings } from './settings/node/readSettings.ts'
import { readSettings } from './settings/node/readSettings.ts'
import { refuseSettings } from './settings/node/refuseSettings.ts'

const EXIT_FAILED = 1

interface RunningHost {
  /** Reads the settings again, where the host can. */
  readonly look?: () => void
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
  if (!settings.ok) return refuseSettings(settings)
  process.on('unhandledRejection', (reason) => { process.stderr.write(`${JSON.stringify({ type: 'alarm', what: 'unhandled rejection', error: String(reason) })}\n`) })
  const host = await startHost(settings.value, path)
  const stop = (): void => { host.stop().then(() => process.exit(0), () => process.exit(EXIT_FAILED)) }
  process.on('SIGTERM', stop)
  process.on('SIGINT', stop)
  process.on('SIGHUP', () => { host.look?.() })
}

/** Runs the program. `serve --settings PATH` is how a platform starts a host; all other words are for the command line. */
async function main (argv: readonly string[]): Promise<void> {
  const [command, option, path] = argv
  if (argv.length === 3 && command === 'serve' && option === '--settings' && path !== undefined) return await serve(path)
  await (await import('./commandLine/node/commandLine.ts')).runCommand(argv, serve)
}

main(process.argv.slice(2)).catch((error: unknown) => {
  process.stderr.write(`${String(error)}\n`)
  process.exitCode = EXIT_FAILED
})
