/**
 * Descriptions of all log events. A log line is a JSON object with `time`, `host`, `type`, `what` and
 * the details of the event. docs/LOGS.md is generated from this table.
 */

export const logEvents = {
  /** Changes of the state that a process knows. */
  changed: {
    start: 'the process starts; with its addresses',
    'mechanism left out': 'an experiment runs with one of the optional mechanisms disabled; with its name',
    listening: 'all addresses accept connections',
    'stop begins': 'a graceful shutdown starts; with the work in progress',
    'stop ends': 'the process exits; with the work that was still in progress',
    'settings reloaded': 'the settings file changed; with the tables that take effect only after a restart',
    'host status': 'another host is considered alive, leaving, suspect or dead; with its former status',
    'hosts known': 'several hosts were discovered or became alive again within one second; with their number by status and the total number of known hosts',
    'host is suspect': 'another host did not respond to a probe',
    'host is dead': 'a suspect host did not respond in time either',
    'the log answers again': 'the control log is reachable again',
    'state found': 'the fold starts from a checkpoint or from the state of a peer',
    'checkpoint written': 'the log contains a checkpoint of the folded state',
    'lease taken': 'this host holds the lease to send orders to the engines of a shard',
    'target weights': 'an engine reports another weight version',
    'topic loaded': 'the newest records of a topic have been read; with their number and the offset',
    'topic has forgotten its history': 'the next records of a topic are no longer retained, so the newest records are loaded again',
    'store regained': 'store calls succeed again for all topics; with the duration of the outage and the number of topics affected',
    'configuration in force': 'a newer configuration takes effect; with its version and the former version',
    'version named': "a trainer set the named version of a model's weights",
    'targets known': 'the registrations of all targets have been read for the first time; with the number of targets, of draining targets, and of targets of each service',
    'target registered': 'a target registered that was not known before',
    'target drains': 'a target announced that it accepts no new work',
    'target gone': 'the registration of a target was removed or became invalid; with the reason',
    'target restarted': 'a target restarted under the same id; with both incarnations and addresses, and the requests of this host to the former incarnation, which end',
    "target's entry is of an earlier life": 'an outdated registration of a former incarnation is ignored',
    'duty held': 'this host runs the steps; with the term',
    'duty lost': 'another host runs the steps, or none does',
    'duty released': 'this host released the duty before it stops',
    'log lines dropped': 'number of decision lines dropped in the previous second, by event'
  },
  /** Problems that may need the attention of an operator. */
  alarm: {
    'the log does not answer': 'the control log is unreachable',
    'the log no longer has the next entry': 'this host was disconnected for longer than the log retains entries',
    'the log ends before what was read from it': 'the log lost entries, or it is a different log',
    'a record cannot be read and is skipped': 'a record was written by another version, or it is corrupt',
    'no state can be found': 'there is neither a checkpoint nor a peer that has the state',
    'control log failed': 'internal error',
    'woke from a freeze': 'the process was suspended',
    'order refused as fenced': 'an engine has seen a newer fencing token',
    'a rollout failed': 'internal error',
    'a request handler failed': 'internal error',
    'stop does not wait longer': 'the shutdown time-out expired, and the work in progress is aborted',
    'store lost': 'store calls fail for a topic, but not yet for the others; with the offset read so far',
    'a topic is no longer followed': 'internal error',
    'record of the operator cannot be read': 'the configuration or a named version is invalid; the former one stays in effect',
    "a target's entry cannot be read": 'another writer overwrote the registration; the target is not used until it has a valid one',
    'request failed': 'internal error; the caller received status 502',
    'call to a scorer failed': 'internal error',
    'claim failed': 'the store did not accept a claim of the duty',
    'contents of a step are missing': 'the store does not have payloads or texts to which a step refers',
    'items of a step cannot be read': 'the store does not return the payloads; the read is repeated',
    'listing failed': 'internal error',
    'load failed': 'internal error',
    'progress not trimmed': 'old progress records stay in the store for longer',
    'progress not saved': 'internal error',
    'progress of running items cannot be read': 'items of a former duty holder start from the beginning',
    'results stand otherwise than before': 'a topic was read again, and a result has a different position than before; with both positions and the number of results that moved',
    'result not taken by the store': 'a finished result waits until the store accepts it',
    'run of an item failed': 'internal error',
    'scoring failed': 'internal error',
    'settings cannot be reloaded': 'the settings file has errors; the former settings stay in effect',
    'steps not taken over': 'internal error',
    'step not forgotten': 'internal error',
    'ends of targets not forgotten': 'internal error',
    'usage not handed in': 'request counts could not be written to the store; the write is repeated, or too many counts are pending',
    'usage not reported': 'internal error',
    'usage report rejected': 'the platform rejected the usage report of a window; the report is not sent again',
    'usage counted too late for its report': 'a host submitted counts after those of their window were final; with the number of requests that no report contains',
    'ends of targets not told': 'the store did not accept records of target crashes for one minute; other hosts do not know of these crashes'
  },
  /** Decisions on requests, steps and orders. */
  decided: {
    'call ended': 'a request was answered; with its route, outcome, targets tried in order, rounds, time taken and allowed, configuration version, and for each attempt the load that was known of its target, the age of the report, and after an asterisk the slowdown that was used',
    'call rejected': 'a request was rejected before it was sent to a target; with the code, the configuration version, and the milliseconds since its last complete read was sent (null if the clocks disagree)',
    'stream given up': 'a caller did not read for too long; with the bytes that were forwarded and the wait',
    'stream ended': 'a stream was completed, interrupted or refused; with its targets and the last event',
    'append not confirmed': 'the store refused records, or it is unknown whether it has them; with the topic, the first key, the route (`direct` or the relaying host), and the number of similar failures since the last such line',
    'step submitted': 'a submission was accepted or rejected; with the offset and the time',
    'step end asked': 'a trainer requested the end of a step',
    'step adopted': 'this host runs a step; with the number of open items, the number of items resumed from saved events, and the term',
    'result listed': 'the duty holder read back that a result is listed; with its position, the offset of its record, the term, and the milliseconds that the item spent in each phase at this host',
    'wanted groups listed': 'the number of groups that the trainer waits for is complete; with the milliseconds since the submission and until the step is due, the last item, and the milliseconds that it spent in each phase at this host',
    'results read': 'results were returned to a trainer, or could not be; with the position after which they were read, their number, and the time',
    'step whole': 'all items of a step are listed',
    'step dropped': 'this host no longer runs a step; with the reason and the number of open items',
    'step forgotten': 'the records of an old step were deleted from the store',
    'target ended under requests': 'the process of a target ended while it ran requests of this host; with their ids, their number, and their fingerprints, which are the same for each repeat of a request',
    'ends of targets forgotten': 'expired records of crashes, answers and trials were deleted from the store; with their number',
    'request held back': 'another target crashed under a request that had already crashed one; with the fingerprint and the number of crashes and trials so far',
    'trial of a held request': 'this host may send a held request to one target; with the fingerprint and the number of the trial',
    'request cleared': 'a target answered a request under which other targets had crashed; with the fingerprint and the crashes that no longer count',
    'run ended': 'the run of an item at an engine ended; with its outcome and the reason, the events received, the weight versions, and the number of the run',
    'head start begins': 'an item of an open step is run once more in advance for a coming step; with the engine and the oldest weight version that the coming step may use',
    'head start used': 'a step continues from the events of an advance run of an item; with the events and the weight versions',
    'run moved to a faster engine': 'a run continues at another engine; with the slowness of both engines, on which the decision is based',
    'item listed as lost': 'an item was given up; with the reason',
    'duty claimed': 'the former holder of the duty was silent or released it; with the duration of the silence',
    'usage reported': "the final counts of a window were sent; with the platform's verdict, the time since the end of the window, and the term",
    'engine assigned': 'an engine is assigned to another model',
    'load begins': 'an engine was ordered to load a weight version; with the numbers of waiting and running requests',
    'load ended': 'the engine reports the ordered version',
    'load not seen to end': 'the engine did not report the ordered version in time; the order is repeated',
    'order not taken': 'an engine refused an order or did not respond'
  }
} as const

/** Decisions that explain the outcome of a step. They are dropped last, because without them the time that a step took cannot be explained. */
export const highPriorityEvents: ReadonlySet<DecidedEvent> = new Set<DecidedEvent>(['step submitted', 'step adopted', 'step whole', 'step dropped', 'wanted groups listed', 'item listed as lost', 'duty claimed', 'engine assigned'])

export type ChangedEvent = keyof typeof logEvents.changed
export type AlarmEvent = keyof typeof logEvents.alarm
export type DecidedEvent = keyof typeof logEvents.decided
