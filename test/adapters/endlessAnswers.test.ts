/** Answers without end to the requests that a host sends to the store, to other hosts and to the platform's duties. */

import type { ChildProcess } from 'node:child_process'
import { fork } from 'node:child_process'
import { expect } from 'chai'
import { EndlessTarget, endlessAnswers } from '../platform/support/endlessTarget.ts'
import type { EndlessAnswerName } from '../platform/support/endlessTarget.ts'
import { deployedOptions } from '../platform/support/fleet.ts'
import type { CallMessage, CallReport, Callee } from './support/caller.ts'

/** Time limit of the slowest of these calls, with what a busy machine may take on top. */
const LONGEST_MS = 1500 + 1500
const MAX_GROWTH_MB = 64

for (const callee of ['the store', 'another host', 'the duties'] as const satisfies readonly Callee[]) {
  describe(`an answer without end by ${callee}`, function () {
    this.timeout(20_000)
    let endless: EndlessTarget
    let caller: ChildProcess

    before(async () => {
      endless = await EndlessTarget.start()
      caller = fork('test/adapters/support/caller.ts', { execArgv: [...deployedOptions(), '--import=tsx'] })
    })
    after(() => {
      caller.kill('SIGKILL')
      endless.close()
    })

    for (const answer of Object.keys(endlessAnswers) as EndlessAnswerName[]) {
      it(`ends within its time limit, in bounded memory, if it consists of ${answer}`, async () => {
        // Guards against a host that runs out of memory because of a process that it calls.
        endless.answer = answer
        const requestsBefore = endless.requests
        const message: CallMessage = { callee, address: endless.address }
        const { outcome, tookMs, growthMb } = await new Promise<CallReport>((resolve) => {
          caller.once('message', resolve)
          caller.send(message)
        })
        expect(endless.requests - requestsBefore).to.equal(1)
        expect(outcome).to.not.equal('answered')
        expect(tookMs).to.be.below(LONGEST_MS)
        expect(growthMb, 'growth of memory in MB').to.be.below(MAX_GROWTH_MB)
      })
    }
  })
}
