/** Starts and stops stand-ins as separate processes and reads their records. */

import type { ChildProcess } from 'node:child_process'
import { spawn } from 'node:child_process'
import { once } from 'node:events'
import { request } from 'undici'

export interface StandInProcess {
  readonly address: string
  /** Reads the record that the stand-in keeps of the work it did. */
  records<T> (): Promise<T>
  stop (): void
}

/** Starts one stand-in and waits until it has printed its address. */
export async function startStandInProcess (kind: string, options: object = {}): Promise<StandInProcess> {
  const child: ChildProcess = spawn(process.execPath, ['dist/standins.cjs', kind, '0', JSON.stringify(options)], { stdio: ['ignore', 'pipe', 'inherit'] })
  const [data] = await once(child.stdout as NonNullable<typeof child.stdout>, 'data') as [Buffer]
  const address = data.toString().trim()
  return {
    address,
    records: async <T>() => await (await request(`${address}/records`)).body.json() as T,
    stop: () => { child.kill('SIGKILL') }
  }
}
