/** Reads the processor time and resident memory of a process from /proc. */

import { readFileSync } from 'node:fs'

const TICKS_PER_SECOND = 100
const KILOBYTE = 1024

export interface Usage {
  readonly processorMs: number
  readonly residentMegabytes: number
}

export function usageOf (pid: number): Usage {
  const fields = readFileSync(`/proc/${pid}/stat`, 'utf8').split(') ')[1]?.split(' ') ?? []
  const ticks = Number(fields[11]) + Number(fields[12])
  const resident = /VmRSS:\s+(\d+)/.exec(readFileSync(`/proc/${pid}/status`, 'utf8'))?.[1]
  return { processorMs: ticks * 1000 / TICKS_PER_SECOND, residentMegabytes: Math.round(Number(resident) / KILOBYTE) }
}
