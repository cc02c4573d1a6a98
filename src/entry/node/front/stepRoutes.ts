/** Steps at the callers' address. */

import type { StepDesk } from '../../../actors/common/steps/stepDesk.ts'
import { failure } from '../../../base/common/resultCode.ts'
import type { Route } from '../../../core/common/routes/routeConfiguration.ts'
import type { FrontProtocol, FrontRequest } from '../../../ports/common/protocols.ts'
import type { FrontExchange } from './frontExchange.ts'

const ACCEPTED = 202
const OK = 200

export class StepRoutes {
  constructor (private readonly desk: StepDesk, private readonly protocol: FrontProtocol) {}

  async submit (exchange: FrontExchange, { requestId }: Extract<FrontRequest, { type: 'routed' }>, route: Route, body: Uint8Array): Promise<void> {
    if (exchange.method !== 'POST') return exchange.fail(failure('methodNotAllowed', `route ${route.name} takes submissions by POST`))
    if (requestId === undefined) return exchange.fail(failure('malformed', 'a submission needs a request id'))
    const submission = this.protocol.submission(requestId, new TextDecoder().decode(body))
    if (!submission.ok) return exchange.fail(submission)
    const taken = await this.desk.submit({ ...submission.value, host: exchange.host, path: exchange.path })
    if (taken.ok) exchange.send(ACCEPTED, {}, '')
    else exchange.fail(taken)
  }

  async serve (exchange: FrontExchange, read: Exclude<FrontRequest, { type: 'routed' }>): Promise<void> {
    switch (read.type) {
      case 'read-results': {
        const page = await this.desk.results(read.step, read.after, read.waitMs, exchange.gone)
        if (!page.ok) return exchange.fail(page)
        const { status, headers, body } = this.protocol.results(page.value.total, page.value.results, read.after)
        return exchange.send(status, { ...headers }, body)
      }
      case 'read-body': {
        const body = await this.desk.body(read.step, read.item)
        if (!body.ok) return exchange.fail(body)
        return exchange.send(OK, { 'content-type': 'application/octet-stream' }, Buffer.from(body.value, 'base64'))
      }
      case 'end-step': {
        const ended = await this.desk.end(read.step)
        return ended.ok ? exchange.send(OK, {}, '') : exchange.fail(ended)
      }
    }
  }
}
