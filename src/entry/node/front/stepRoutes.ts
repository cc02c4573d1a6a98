/** Routes for submitting steps, reading their results and ending them, at the address for callers. */

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
  constructor (private readonly submissionApi: StepRequestHandler, private readonly protocol: FrontProtocol) {}

  async submit (exchange: FrontExchange, { parsedRequest: { requestId }, route, caller, body }: ForwardedRequest): Promise<void> {
    if (exchange.method !== 'POST') return exchange.sendFailure(failure('methodNotAllowed', `route ${route.name} accepts submissions by POST only, not ${exchange.method}`))
    if (requestId === undefined) return exchange.sendFailure(failure('malformed', 'a submission must have a request id'))
    const submission = this.protocol.submission(requestId, new TextDecoder().decode(body))
    if (!submission.ok) return exchange.sendFailure(submission)
    exchange.markDispatched()
    const accepted = await this.submissionApi.submit({ ...submission.value, host: exchange.host, path: exchange.path, workspace: workspaceOf(caller) })
    if (accepted.ok) exchange.send(ACCEPTED, {}, '')
    else exchange.sendFailure(accepted)
  }

  async serve (exchange: FrontExchange, parsedRequest: Exclude<FrontRequest, { type: 'routed' }>, caller: CallerIdentity): Promise<void> {
    const workspace = workspaceOf(caller)
    switch (parsedRequest.type) {
      case 'read-results': {
        const page = await this.submissionApi.results({ id: parsedRequest.step, workspace }, parsedRequest.after, parsedRequest.waitMs, exchange.disconnectSignal)
        if (!page.ok) return exchange.sendFailure(page)
        const { status, headers, body } = this.protocol.results(page.value.total, page.value.results, parsedRequest.after)
        return exchange.send(status, { ...headers }, body)
      }
      case 'read-body': {
        const body = await this.submissionApi.itemBody({ id: parsedRequest.step, workspace }, parsedRequest.item)
        if (!body.ok) return exchange.sendFailure(body)
        return exchange.send(OK, { 'content-type': 'application/octet-stream' }, Buffer.from(body.value, 'base64'))
      }
      case 'end-step': {
        exchange.markDispatched()
        const ended = await this.submissionApi.end({ id: parsedRequest.step, workspace })
        return ended.ok ? exchange.send(OK, {}, '') : exchange.sendFailure(ended)
      }
    }
  }
}
