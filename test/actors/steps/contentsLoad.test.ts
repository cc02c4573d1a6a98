/** Load that reading the texts of steps puts on a store shared by many hosts. */

import { expect } from 'chai'
import { GroupAppender } from '../../../src/actors/common/store/groupAppender.ts'
import { StepContents } from '../../../src/actors/common/steps/stepContents.ts'
import type { KeyedEntry, KeyedLog } from '../../../src/ports/common/keyedLog.ts'
import { noContentHolders } from '../../support/noHolders.ts'
import { noopStateLog, noopMetrics } from '../../support/fakeHost.ts'
import { ManualClock } from '../../support/manualClock.ts'
import { MemoryKeyedLog } from '../../support/memoryKeyedLog.ts'

const HOSTS = 84
/** Total read throughput of the store. */
const STORE_BYTES_PER_MS = 80_000
/** Number and size of the texts that are listed: some 1 MB a second. */
const TEXTS_EACH_100_MS = 8
const TEXT_CHARACTERS = 13_000
const SECONDS = 8

/** A store whose readers share one link, so that each response waits for the earlier ones. */
class SharedStore {
  readonly log = new MemoryKeyedLog()
  bytes = 0
  private linkFreeAt = 0

  constructor (private readonly clock: ManualClock) {}

  get backlogMs (): number {
    return Math.max(0, this.linkFreeAt - this.clock.now)
  }

  reader (): KeyedLog {
    return {
      append: async (records) => await this.log.append(records),
      read: async (from, waitMs) => {
        if (from >= this.log.entries.length && waitMs > 0) await this.pause(waitMs)
        const page = await this.log.read(from)
        if (page.ok && page.value.type === 'entries') await this.deliver(page.value.entries)
        return page
      },
      readSome: async (from, kilobytes) => {
        const page = await this.log.readSome(from, kilobytes)
        if (page.ok && page.value.type === 'entries') await this.deliver(page.value.entries)
        return page
      },
      newest: async (after) => {
        const page = await this.log.newest(after)
        if (page.ok) await this.deliver(page.value.entries)
        return page
      }
    }
  }

  private async deliver (entries: readonly KeyedEntry[]): Promise<void> {
    const size = entries.reduce((sum, { key, value }) => sum + key.length + (value?.length ?? 0), 0)
    this.bytes += size
    this.linkFreeAt = Math.max(this.linkFreeAt, this.clock.now) + size / STORE_BYTES_PER_MS
    await this.pause(this.linkFreeAt - this.clock.now)
  }

  private async pause (milliseconds: number): Promise<void> {
    await new Promise<void>((resolve) => { this.clock.after(Math.max(1, milliseconds), resolve) })
  }
}

describe('texts of steps in a deployment of many hosts', function () {
  this.timeout(60_000)

  it('are read from the store only when requested, not by every host', async () => {
    // Guards against overload of the store, after which accepted steps could not be read. When each of 84 hosts followed
    // the topic of all texts, each text was read 84 times: the hosts read 56 to 110 MB a second from the third second on,
    // from a store that delivers 80. Requested reads queued behind that, timed out and were repeated, which lengthened the queue.
    const clock = new ManualClock()
    const store = new SharedStore(clock)
    const contents = Array.from({ length: HOSTS }, (_, index) => {
      let drawn = 0
      const id = (): string => `${index}-${drawn++}`
      const services = { log: store.reader(), clock, chance: { id, next: () => 0.5 }, metrics: noopMetrics, stateLog: noopStateLog }
      return new StepContents({ ...services, peerContent: noContentHolders, appender: new GroupAppender(services, { maxCallCharacters: 1_000_000 }) })
    })
    const [writer, reader] = [contents[0], contents[1]]
    if (writer === undefined || reader === undefined) throw new Error('no hosts')
    await clock.advance(100)
    const text = 'x'.repeat(TEXT_CHARACTERS)
    const written: Awaited<ReturnType<StepContents['saveText']>>[] = []
    for (let tenth = 0; tenth < SECONDS * 10; tenth++) {
      for (let number = 0; number < TEXTS_EACH_100_MS; number++) {
        writer.saveText(`step-${Math.floor(tenth / 40)}`, `item-${tenth}-${number}`, text, 1000).then((saved) => written.push(saved), () => undefined)
      }
      await clock.advance(100)
    }
    expect(written).to.have.length(SECONDS * 10 * TEXTS_EACH_100_MS)
    const asked = written.slice(-10).flatMap((saved) => saved.ok ? [saved.value] : [])
    const began = clock.now
    let took: number | undefined
    reader.texts('step-1', asked).then((texts) => {
      expect(texts).to.deep.equal(asked.map(() => text))
      took = clock.now - began
    }, () => undefined)
    await clock.advance(1500)
    const megabytes = { written: written.length * TEXT_CHARACTERS / 1e6, read: store.bytes / 1e6 }
    expect(megabytes.read, `MB read of ${megabytes.written.toFixed(1)} MB written`).to.be.lessThan(megabytes.written)
    expect(store.backlogMs, 'backlog of the store in milliseconds').to.equal(0)
    expect(took, 'milliseconds until ten texts are read').to.be.lessThan(300)
  })
})
