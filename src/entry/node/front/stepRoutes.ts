/** Steps at the callers' address. */

import type { StepRequestHandler } from '../../../actors/common/steps/stepRequestHandler.ts'
import { failure } from '../../../base/common/resultCode.ts'
import type { CallerIdentity } from '../../../core/common/identity/workspaces.ts'
import { workspaceOf } from '../../../core/common/identity/workspaces.ts'
import type { FrontProtocol, FrontRequest } from '../../../ports/common/protocols.ts'
import type { ForwardedRequest } from './forwardRoutes.ts'
import type { FrontExchange } from './frontExchange.ts'

const ACCEPTED = 202
const OK = 200

export class StepRoutes {
  constructor (private readonly desk: StepRequestHandler, private readonly protocol: FrontProtocol) {}

  async submit (exchange: FrontExchange, { read: { requestId }, route, caller, body }: ForwardedRequest): Promise<void> {
    if (exchange.method !== 'POST') return exchange.fail(failure('methodNotAllowed', `route ${route.name} takes submissions by POST`))
    if (requestId === undefined) return exchange.fail(failure('malformed', 'a submission needs a request id'))
    const submission = this.protocol.submission(requestId, new TextDecoder().decode(body))
    if (!submission.ok) return exchange.fail(submission)
    const taken = await this.desk.submit({ ...submission.value, host: exchange.host, path: exchange.path, workspace: workspaceOf(caller) })
    if (taken.ok) exchange.send(ACCEPTED, {}, '')
    else exchange.fail(taken)
  }

  async serve (exchange: FrontExchange, read: Exclude<FrontRequest, { type: 'routed' }>, caller: CallerIdentity): Promise<void> {
    const workspace = workspaceOf(caller)
    switch (read.type) {
      case 'read-results': {
        const page = await this.desk.results({ id: read.step, workspace }, read.after, read.waitMs, exchange.gone)
        if (!page.ok) return exchange.fail(page)
        const { status, headers, body } = this.protocol.results(page.value.total, page.value.results, read.after)
        return exchange.send(status, { ...headers }, body)
      }
      case 'read-body': {
        const body = await this.desk.itemBody({ id: read.step, workspace }, read.item)
        if (!body.ok) return exchange.fail(body)
        return exchange.send(OK, { 'content-type': 'application/octet-stream' }, Buffer.from(body.value, 'base64'))
      }
      case 'end-step': {
        const ended = await this.desk.end({ id: read.step, workspace })
        return ended.ok ? exchange.send(OK, {}, '') : exchange.fail(ended)
      }
    }
  }
}
