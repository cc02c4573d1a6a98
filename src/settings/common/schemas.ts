/** Schemas of values and tables that the settings of all types of hosts share. */

import { z } from 'zod'

export const milliseconds = (defaultValue: number, description: string) => z.number().int().positive().default(defaultValue).describe(`${description}, in milliseconds`)
export const positiveInteger = (defaultValue: number, description: string) => z.number().int().positive().default(defaultValue).describe(description)
export const origin = z.string().regex(/^http:\/\/(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$/, 'must be http://IP:PORT')
export const endpoint = z.string().regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$/, 'must be IP:PORT')
export const name = z.string().regex(/^[\w.:-]{1,100}$/, 'must be 1 to 100 letters, digits or . : _ -')
export const key = z.string().min(8, 'must have at least 8 characters').max(200)

/** Limits of clients that apply at all addresses of a host. */
export const clientLimits = {
  pipelined_requests: positiveInteger(4, 'maximum number of requests that a client may send on one connection before it has received their answers; a connection with more is closed'),
  caller_pause: milliseconds(10_000, 'longest time for which a client may read nothing of an answer or a stream that waits for it')
}

export const membershipSchema = z.strictObject({
  seeds: z.array(origin).default([]).describe('addresses of hosts through which to join the membership, in addition to the host list'),
  probe_period: milliseconds(500, 'interval between probes'),
  probe_timeout: milliseconds(250, 'time limit for the answer to a probe'),
  indirect: positiveInteger(2, 'number of other hosts that are asked to probe a host that did not answer'),
  suspicion: milliseconds(1500, 'how long a suspect host may still answer before it is considered dead'),
  forget: milliseconds(600_000, 'how long dead hosts are kept in the membership'),
  full_exchange: milliseconds(10_000, 'interval between exchanges of the full membership table, if the tables of two hosts differ')
})
