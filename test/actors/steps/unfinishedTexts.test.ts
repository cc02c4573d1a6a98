/** Texts that are generated on one host and resumed on another: the combined text must come from a single chain of runs. */

import { expect } from 'chai'
import fc from 'fast-check'
import type { ItemText } from '../../../src/actors/common/steps/itemText.ts'
import type { ItemWork } from '../../../src/actors/common/steps/stepWork.ts'
import type { SavedText } from '../../../src/core/common/steps/progress.ts'
import { progressKey } from '../../../src/core/common/steps/progress.ts'
import { ManualClock } from '../../support/manualClock.ts'
import { newItem } from '../../support/steps.ts'
import type { AppendOutcome } from '../../support/texts.ts'
import { ScriptedHistory, itemWorkOf, newHostTexts, newStepWork, textEvents } from '../../support/texts.ts'

/** Simulates runs on engines. Each event names the run that generated it, and the events that precede each run are recorded. */
class EngineRuns {
  private readonly precedingEvents: (readonly string[])[] = []

  /** Simulates a run that resumes after the events of `text`. The number of the run and the event determine the model version. */
  run (text: ItemText, count: number): void {
    const run = this.precedingEvents.push(text.events.map(({ data }) => data)) - 1
    text.beginRun(this.versionOf(run, 0))
    for (let event = 0; event < count; event++) {
      const id = (text.last ?? 0) + 1
      const version = this.versionOf(run, id)
      text.add({ id, data: `${run}:${id}`, version: version === this.versionOf(run, event === 0 ? 0 : id - 1) ? undefined : version })
    }
  }

  /** Checks that each event comes from the run of the preceding event, or from a run that resumed exactly there. */
  expectChain ({ events: generated, last }: SavedText): void {
    const events = generated.map(({ data }) => data)
    expect(events.map((event) => Number(event.split(':')[1]))).to.deep.equal(events.map((_, index) => index + 1))
    const runs = events.map((event) => Number(event.split(':')[0]))
    for (const [index, run] of runs.entries()) {
      if (run !== runs[index - 1]) expect(this.precedingEvents[run], `the run of event ${index + 1} in ${events.join(' ')}`).to.deep.equal(events.slice(0, index))
    }
    expect(last).to.equal(events.length)
    expect(generated.map(({ version }) => version)).to.deep.equal(runs.map((run, index) => this.versionOf(run, index + 1)))
  }

  /** The engine of a run changes its weights at one event of the run. */
  private versionOf (run: number, event: number): number {
    return 1 + run % 4 + (event > run % 5 ? 1 : 0)
  }
}

const STEP = 's'
const key = progressKey(STEP, 'i')
const items = [newItem('i', 'g')]

/** A host that runs the item `i` of the step `s`. */
class Holder {
  private readonly host
  private work = newStepWork(STEP, items)

  constructor (history: ScriptedHistory, clock: ManualClock) {
    this.host = newHostTexts(history, clock)
  }

  get itemWork (): ItemWork {
    return itemWorkOf(this.work, 'i')
  }

  /** Takes over the duty, possibly after having lost it. */
  async takeOver (): Promise<void> {
    this.host.held.retain(this.work)
    this.work = newStepWork(STEP, items)
    this.host.held.restore(this.work, this.itemWork, await this.host.progress.load(), false)
    this.itemWork.state = 'running'
  }

  async save (): Promise<void> {
    await this.host.held.save([this.work], true)
  }
}

type Action =
  | { readonly type: 'take over', readonly host: number }
  | { readonly type: 'begin anew', readonly host: number }
  | { readonly type: 'run and save', readonly host: number, readonly count: number, readonly fate: AppendOutcome }
  | { readonly type: 'land' }
  | { readonly type: 'trim', readonly records: number }

const host = fc.integer({ min: 0, max: 1 })
const fate = fc.constantFrom<AppendOutcome>('kept', 'kept', 'kept', 'lost', 'answer lost', 'late', 'twice')
const actions: fc.Arbitrary<Action[]> = fc.array(fc.oneof(
  { weight: 3, arbitrary: fc.record({ type: fc.constant('take over' as const), host }) },
  { weight: 10, arbitrary: fc.record({ type: fc.constant('run and save' as const), host, count: fc.integer({ min: 0, max: 3 }), fate }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('begin anew' as const), host }) },
  { weight: 2, arbitrary: fc.constant({ type: 'land' as const }) },
  { weight: 1, arbitrary: fc.record({ type: fc.constant('trim' as const), records: fc.integer({ min: 1, max: 2 }) }) }
), { minLength: 8, maxLength: 30 })

describe('an unfinished text', () => {
  it('is continued only where a run resumed, whichever host saves it and whenever the save arrives', async () => {
    // Guards against combining events of two runs: in the text of an item, the events after number 20 came from a run that
    // had not resumed there. A holder was suspended, another one took over and saved, and then the first saved the events
    // of its own run. Saved events were joined by their position alone, so a third holder read them as one text.
    await fc.assert(fc.asyncProperty(actions, async (script) => {
      const history = new ScriptedHistory()
      const clock = new ManualClock()
      const runs = new EngineRuns()
      const holders = [0, 1].map(() => new Holder(history, clock))
      const reader = newHostTexts(history, clock)
      let trimmed = 0
      for (const action of script) {
        switch (action.type) {
          case 'take over': await holders[action.host]?.takeOver(); break
          case 'begin anew': holders[action.host]?.itemWork.text.clear(); break
          case 'run and save': {
            const holder = holders[action.host]
            if (holder?.itemWork.state !== 'running') break
            runs.run(holder.itemWork.text, action.count)
            history.appendOutcome = action.fate
            const saved = holder.save()
            if (action.fate !== 'late') await saved
            break
          }
          case 'land': history.applyDelayedAppends(); break
          case 'trim': {
            trimmed = Math.min(history.records.length, trimmed + action.records)
            await history.trim(trimmed)
          }
        }
        await clock.advance(0)
        const text = (await reader.progress.load()).get(key)
        if (text !== undefined) runs.expectChain(text)
      }
    }), { numRuns: 1000, seed: 11 })
  })

  it('of a suspended holder is not joined with the events that its successor saved', async () => {
    // Guards against a third holder resuming from events 1 to 20 of one run and 21 to 25 of another that had resumed after
    // event 10. The first holder is suspended after it saved 10 events, the second resumes from them and saves 20, and
    // then the first wakes up and saves its own events 11 to 25.
    const history = new ScriptedHistory()
    const clock = new ManualClock()
    const runs = new EngineRuns()
    const [first, second, third] = [0, 1, 2].map(() => new Holder(history, clock)) as [Holder, Holder, Holder]
    await first.takeOver()
    runs.run(first.itemWork.text, 10)
    await first.save()
    await second.takeOver()
    runs.run(first.itemWork.text, 15)
    runs.run(second.itemWork.text, 10)
    await second.save()
    await first.save()
    runs.run(second.itemWork.text, 10)
    await second.save()
    await third.takeOver()
    const { events, last } = third.itemWork.text
    runs.expectChain({ events, last: last ?? 0 })
    expect(events).to.deep.equal(second.itemWork.text.events)
  })

  it('that is restarted during a save is saved from its first event', async () => {
    // Guards against a text of two runs. If the item failed and was restarted during a save, events of the new run counted
    // as saved when the store answered, because only their number was compared.
    const history = new ScriptedHistory()
    const clock = new ManualClock()
    const runs = new EngineRuns()
    const holder = new Holder(history, clock)
    await holder.takeOver()
    runs.run(holder.itemWork.text, 4)
    history.appendOutcome = 'late'
    const saved = holder.save()
    await clock.advance(0)
    holder.itemWork.text.clear()
    runs.run(holder.itemWork.text, 5)
    history.applyDelayedAppends()
    await saved
    history.appendOutcome = 'kept'
    await holder.save()
    const text = (await newHostTexts(history, clock).progress.load()).get(key)
    expect(text?.events).to.deep.equal(holder.itemWork.text.events)
    runs.expectChain(text ?? { events: [], last: 0 })
  })

  it('is reused only for an identical request, and is saved in full for the new step', async () => {
    // Guards against an item of a later step that resumes from the text of another prompt, and against a host that takes over
    // and does not find the beginning of a text. Unfinished texts were retained by item id alone, and events saved for the
    // earlier step counted as saved for the later one.
    const history = new ScriptedHistory()
    const clock = new ManualClock()
    const runs = new EngineRuns()
    const { held, progress } = newHostTexts(history, clock)
    const earlier = newStepWork('s1', items)
    runs.run(itemWorkOf(earlier, 'i').text, 3)
    held.retain(earlier)

    for (const [name, changed] of Object.entries({ body: { body: btoa('another prompt') }, path: { path: '/items/other' }, headers: { headers: { 'x-prompt': 'other' } } })) {
      const other = newStepWork('s2', items.map((same) => ({ ...same, ...changed })))
      held.restore(other, itemWorkOf(other, 'i'), new Map(), false)
      expect(itemWorkOf(other, 'i').text.events, name).to.deep.equal([])
    }

    const later = newStepWork('s3', items)
    const itemWork = itemWorkOf(later, 'i')
    held.restore(later, itemWork, new Map(), false)
    expect(itemWork.text.events).to.have.length(3)
    itemWork.state = 'running'
    runs.run(itemWork.text, 2)
    await held.save([later], true)
    expect((await progress.load()).get(progressKey('s3', 'i'))?.events).to.deep.equal(itemWork.text.events)
  })

  it('is resumed from the longer of the retained and the stored text', async () => {
    const history = new ScriptedHistory()
    const clock = new ManualClock()
    const runs = new EngineRuns()
    const { held } = newHostTexts(history, clock)
    const own = newStepWork(STEP, items)
    runs.run(itemWorkOf(own, 'i').text, 3)
    held.retain(own)
    for (const [saved, expected] of [[2, 3], [5, 5]] as const) {
      const again = newStepWork(STEP, items)
      const events = textEvents(1, ...Array.from({ length: saved }, (_, index) => `9:${index + 1}`))
      held.restore(again, itemWorkOf(again, 'i'), new Map([[key, { events, last: saved }]]), false)
      expect(itemWorkOf(again, 'i').text.events).to.have.length(expected)
    }
  })
})
