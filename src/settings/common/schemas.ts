/** Kinds of values and tables that the settings of all hosts have in common. */

import { z } from 'zod'

export const milliseconds = (value: number, meaning: string) => z.number().int().positive().default(value).describe(`${meaning}, in milliseconds`)
export const count = (value: number, meaning: string) => z.number().int().positive().default(value).describe(meaning)
export const origin = z.string().regex(/^http:\/\/(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$/, 'must be http://IP:PORT')
export const endpoint = z.string().regex(/^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-f:]+\]):\d{1,5}$/, 'must be IP:PORT')
export const name = z.string().regex(/^[\w.:-]{1,100}$/, 'must be 1 to 100 letters, digits or . : _ -')
export const key = z.string().min(8, 'a key has at least 8 characters').max(200)

export const membershipSchema = z.strictObject({
  seeds: z.array(origin).default([]).describe('addresses of hosts to join through, beside the host list'),
  probe_period: milliseconds(500, 'time between two probes'),
  probe_timeout: milliseconds(250, 'longest wait for the answer to a probe'),
  indirect: count(2, 'hosts asked to probe for this one'),
  suspicion: milliseconds(1500, 'how long a suspect may answer before it counts as dead'),
  forget: milliseconds(600_000, 'how long dead hosts are remembered'),
  full_exchange: milliseconds(10_000, 'time between two exchanges of the whole table, where the hosts\' tables differ')
})
