/** Targets in trouble that answer with a status that HTTP does not define, and whose answers are complete in all else. */

import { expect } from 'chai'
import { pause } from '../../standins/httpStandIn.ts'
import { waitUntil } from '../support/hostProcess.ts'
import { Fleet } from './support/fleet.ts'
import { RawTarget } from './support/rawTarget.ts'

const STATUSES = ['000', '099', '100', '101', '199', '600', '700', '999'] as const
const BODY = 'id: 0\ndata: invalid\n\n'
/** Time after which a host knows of a changed entry. */
const REGISTRATION_MS = 1200
const ENTRY = { zone: 'place-0', version: 'v1', slots: 8, state: 'ready', cold_left_ms: 0, seq: 1 }
const EVENTS = 3

describe('answers with an invalid status', function () {
  this.timeout(60_000)
  let fleet: Fleet
  let target: RawTarget

  before(async () => {
    target = await RawTarget.start((id, path, request) => {
      const report = JSON.stringify({ models: [{ name: 'm', version: 9 }], busy: false, seq: 0, waiting: 0, running: 0 })
      const body = path === '/report' ? report : BODY
      return `HTTP/1.1 ${STATUSES[request % STATUSES.length] ?? ''} Answer\r\nbulrushvalve-request-id: ${id}\r\nbulrushvalve-response-seal: s\r\nbulrushvalve-weight-versions: 1\r\ncontent-type: text/event-stream\r\ncontent-length: ${body.length}\r\n\r\n${body}`
    })
    fleet = await Fleet.start(1, [{ id: 'w-0', service: 'app', place: 'place-0' }, { id: 'e-0', service: 'engines', place: 'place-0', engine: { models: ['m'], eventMs: 5, loadMs: 50 } }])
    await waitUntil(async () => (await fleet.call(fleet.host(0), '/look-up/first')).status === 200, 10_000, 'calls are answered')
  })
  after(async () => {
    target.close()
    await fleet.stop()
  })

  async function replaceTargets (service: string, isInvalid: boolean): Promise<void> {
    for (const sound of fleet.targets.filter(({ options }) => options.service === service)) {
      if (isInvalid) sound.deregister()
      else sound.register()
    }
    const model = service === 'engines' ? { stage: 'both', models: [{ name: 'm', version: 1, adapters: [] }] } : {}
    fleet.store.put('keyed.servers', `invalid-${service}`, isInvalid ? { ...ENTRY, service, addr: target.address, ...model } : undefined)
    await pause(REGISTRATION_MS)
  }

  for (const { kind, path, service } of [{ kind: 'repeatable calls', path: '/look-up/', service: 'app' }, { kind: 'calls that run once', path: '/entry/', service: 'app' }, { kind: 'streams', path: '/chat/events-3/', service: 'engines' }]) {
    it(`are not forwarded to callers of ${kind}`, async () => {
      // Guards against a caller that takes the bytes of a target in trouble for its answer.
      await replaceTargets(service, true)
      const before = target.requests
      for (let index = 0; index < STATUSES.length; index++) {
        const { status, text } = await fleet.call(fleet.host(0), `${path}${index}`)
        expect([502, 503, 504], `${status} ${text}`).to.include(status)
        expect(text).to.not.include('invalid')
      }
      expect(target.requests - before).to.be.at.least(STATUSES.length)
      await replaceTargets(service, false)
      await waitUntil(async () => (await fleet.call(fleet.host(0), `${path}after`)).status === 200, 5000, 'callers are served again')
    })
  }

  for (const { kind, service, requests } of [{ kind: 'items', service: 'engines', requests: STATUSES.length }, { kind: 'scorers', service: 'app', requests: 4 * STATUSES.length }]) {
    it(`do not count as answers of ${kind}`, async () => {
      // Guards against a sample with the text or the score of a target in trouble.
      const step = `step-${kind}`
      const { items } = JSON.parse(fleet.stepBody([[EVENTS, EVENTS, EVENTS, EVENTS]])) as { items: { id: string, scorer: { id: string } }[] }
      await replaceTargets(service, true)
      const before = target.requests
      await fleet.submit(fleet.host(0), step, [], { group_count: 1, items: items.map((item) => ({ ...item, id: `${step}-${item.id}`, scorer: { ...item.scorer, id: `${step}-${item.scorer.id}` } })) })
      await waitUntil(() => target.requests - before >= requests, 15_000, 'the step has used the target')
      expect((await fleet.results(fleet.host(0), step)).results).to.deep.equal([])
      await replaceTargets(service, false)
      const { results } = await fleet.waitUntilComplete(fleet.host(0), step, 10_000)
      for (const { state, text, score } of results) expect([state, text.split('\n').length, text.includes('invalid'), score === 's']).to.deep.equal(['complete', EVENTS, false, false])
    })
  }

  it('do not count as reports of engines', async () => {
    // Guards against an engine that counts as having loaded weights because of bytes that are no report.
    const reports = (): number => target.requests
    await replaceTargets('engines', true)
    const before = reports()
    fleet.store.put('keyed.op', 'version/m', { model: 'm', version: 9 })
    await waitUntil(() => reports() - before >= STATUSES.length, 20_000, 'reports are requested')
    await fleet.submit(fleet.host(0), 'version-9', [[EVENTS]], { min_version: 9 })
    await pause(1000)
    expect((await fleet.results(fleet.host(0), 'version-9')).results).to.deep.equal([])
    await replaceTargets('engines', false)
    const { results } = await fleet.waitUntilComplete(fleet.host(0), 'version-9', 20_000)
    expect(results.map(({ state, versions }) => [state, versions])).to.deep.equal([['complete', [9]]])
  })
})
