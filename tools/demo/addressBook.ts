/** Client-side discovery of hosts: reads the list of hosts from any known host, caches it for its validity period, and avoids hosts that failed. */

import { request } from 'undici'

interface Entry {
  readonly address: string
  readonly weight: number
}

export class AddressBook {
  private entries: readonly Entry[] = []
  private validUntil = 0

  constructor (private readonly seeds: readonly string[]) {}

  /** Returns a random address, weighted, that is not in `avoid`. If all are, any address may be returned. */
  async next (avoid: ReadonlySet<string> = new Set()): Promise<string> {
    if (Date.now() >= this.validUntil) await this.refresh()
    const usable = this.entries.filter(({ address }) => !avoid.has(address))
    const pool = usable.length > 0 ? usable : this.entries
    let draw = Math.random() * pool.reduce((sum, { weight }) => sum + weight, 0)
    for (const { address, weight } of pool) {
      draw -= weight
      if (draw <= 0) return address
    }
    return pool[0]?.address ?? this.seeds[0] ?? ''
  }

  private async refresh (): Promise<void> {
    const known = [...this.entries.map(({ address }) => address), ...this.seeds]
    for (const address of known) {
      try {
        const answer = await request(`${address}/v1/addresses`, { signal: AbortSignal.timeout(1000) })
        const body = await answer.body.json() as { addresses: Entry[], valid_for_ms: number }
        if (body.addresses.length === 0) continue
        this.entries = body.addresses
        this.validUntil = Date.now() + body.valid_for_ms
        return
      } catch {}
    }
  }
}
