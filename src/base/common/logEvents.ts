/**
 * All events that log lines tell of. A line is one JSON object with `time`, `host`, `type`, `what`
 * and the event's own details. docs/LOGS.md is written from this table.
 */

export const logEvents = {
  /** What a process believes has changed. */
  changed: {
    start: 'the process begins; with its addresses',
    'mechanism left out': 'an experiment runs without one of the decisions that can be switched off; with its name',
    listening: 'all its addresses take connections',
    'stop begins': 'a graceful stop; with what is under way',
    'stop ends': 'the process exits; with what was still under way',
    'settings reloaded': 'the settings file changed; with the tables that hold only after a restart',
    'host status': 'another host is believed alive, leaving, suspect or dead; with what was believed before',
    'hosts known': 'several hosts became known, or alive again, within a second; how many by status, and how many are known in all',
    'host is suspect': 'another host did not answer',
    'host is dead': 'a suspect did not answer in time either',
    'the log answers again': 'the control log is back',
    'state found': 'the fold begins from a checkpoint or a peer',
    'checkpoint written': 'the folded state is in the log',
    'lease taken': 'this host orders the engines of a shard',
    'target weights': 'an engine reports another version',
    'topic loaded': 'the newest records of a topic are read; with their number and the offset',
    'topic has forgotten its history': 'the next records are gone, the newest ones are loaded again',
    'store regained': 'calls for all topics succeed again; with the time without, and how many topics were lost',
    'configuration in force': 'a newer configuration; with its version and the former one',
    'version named': 'a trainer named a version of weights',
    'targets known': "all targets' entries are read for the first time; how many, how many drain, and how many each service has",
    'target registered': 'a target has an entry that was not there before',
    'target drains': 'a target takes no new work by its own word',
    'target gone': 'the entry of a target is gone or names none any more; with the reason',
    'target restarted': 'a target has started again under its id; with both incarnations and addresses, and the requests of this host that end with the former one',
    "target's entry is of an earlier life": 'a late entry that is passed over',
    'duty held': 'this host runs the steps; with the term',
    'duty lost': 'another host does, or nobody',
    'duty released': 'this host gave the duty up before it stops',
    'log lines dropped': 'lines of decisions that were left out in the second before, by event'
  },
  /** Something is wrong that an operator may have to mend. */
  alarm: {
    'the log does not answer': 'the control log is out of reach',
    'the log no longer has the next entry': 'this host was away for longer than the log keeps entries',
    'the log ends before what was read from it': 'the log lost entries, or is another one',
    'a record cannot be read and is skipped': 'a record of another version, or a broken one',
    'no state can be found': 'neither checkpoint nor peer',
    'control log failed': 'a fault of this program',
    'woke from a freeze': 'the process stood still',
    'order refused as fenced': 'an engine knows a newer holder',
    'a rollout failed': 'a fault of this program',
    'a request handler failed': 'a fault of this program',
    'stop does not wait longer': 'what was under way is cut off',
    'store lost': 'calls for a topic fail, and by then none of the others; with the offset read so far',
    'a topic is no longer followed': 'a fault of this program',
    'record of the operator cannot be read': 'the configuration or a named version is broken; the former stays in force',
    "a target's entry cannot be read": 'another writer has its key; the target is not used until there is one that can be read',
    'request failed': 'a fault of this program; the caller got 502',
    'call to a scorer failed': 'a fault of this program',
    'claim failed': 'the store did not take a claim of the duty',
    'contents of a step are missing': 'payloads or texts that a step names are not in the store',
    'items of a step cannot be read': 'the store does not give the payloads now; they are asked for again',
    'listing failed': 'a fault of this program',
    'load failed': 'a fault of this program',
    'progress not trimmed': 'old progress stays in the store a little longer',
    'progress not saved': 'a fault of this program',
    'progress of running items cannot be read': 'items of a former holder begin anew',
    'results stand otherwise than before': 'a topic was read anew and a result has another position than this host held; with the former and the present one and how many moved',
    'result not taken by the store': 'a finished result waits for the store',
    'run of an item failed': 'a fault of this program',
    'scoring failed': 'a fault of this program',
    'settings cannot be reloaded': 'the file has mistakes; the former settings hold',
    'steps not taken over': 'a fault of this program',
    'step not forgotten': 'a fault of this program',
    'ends of targets not forgotten': 'a fault of this program',
    'usage not handed in': 'counts of requests could not be written; they are offered again, or too many wait',
    'usage not reported': 'a fault of this program',
    'usage report rejected': 'the platform does not take the report of a window; it is not sent again',
    'usage counted too late for its report': 'a host handed in counts after those of their window were final; how many requests are in no report',
    'ends of targets not told': 'the store did not take for a minute under which requests targets ended; other hosts do not know of them'
  },
  /** A decision that touches a request, a step or an order. */
  decided: {
    'call ended': 'a request has its answer: route, outcome, targets tried in order, rounds, time taken and allowed, configuration version, age of the newest load report',
    'call rejected': 'a request was rejected before it was sent anywhere, with the code, the configuration version, and the milliseconds since its last complete read was sent (null where the clocks do not tell)',
    'stream given up': 'a caller has read nothing for too long; with the bytes that were passed on and the wait',
    'stream ended': 'a stream is whole, cut or refused; with the targets and the last event',
    'append not confirmed': 'records were refused by the store, or it is not known whether it has them; with the topic, the first key, the way (`direct` or the host asked instead), and how many refusals of the same way had no line since the last one',
    'step submitted': 'a submission was accepted or not; with offset and time',
    'step end asked': 'a trainer ended a step',
    'step adopted': 'this host runs a step; with the items still open, those resumed from saved events, and the term',
    'result listed': 'the holder of the duty reads that a result is listed; with its position, the offset of its record, the term, and the milliseconds that its item spent in each phase at this host',
    'wanted groups listed': 'a step has what its trainer waits for; with the milliseconds since its submission and until it is due, the item that came last and the milliseconds that it spent in each phase at this host',
    'results read': 'results were given to a trainer, or could not be; with the position read after, how many, and the time',
    'step whole': 'all items of a step are listed',
    'step dropped': 'a step is no longer run here, and why; with the items still open',
    'step forgotten': 'the records of an old step are dropped from the store',
    'target ended under requests': 'the process of a target ended while requests of this host ran there; with their ids, their fingerprints, which are the same for each repeat of a request, and their number',
    'ends of targets forgotten': 'records of ends, answers and trials are dropped from the store, as their time is over; with their number',
    'request held back': 'one more target ended under a request under which another had ended before; with its fingerprint, the ends and the trials so far',
    'trial of a held request': 'this host may send a held request to one target; with its fingerprint and the number of the trial',
    'request cleared': 'a target answered a request under which others had ended; with its fingerprint and the ends that count no more',
    'run ended': "an item's run at an engine: how it ended and why, events held, versions, number of the run",
    'head start begins': 'an item of an open step is run once more, for the step to come that will have it; with the engine and the oldest version that step may use',
    'head start used': 'a step goes on from what an item came to before it was asked; with the events and versions',
    'run moved to a faster engine': 'a run goes on at another engine; with the slowness of both that decided it',
    'item listed as lost': 'an item was given up, and why',
    'duty claimed': 'the holder was silent, or released the duty; with its silence',
    'usage reported': "the sealed counts of a window were sent; with the platform's verdict, the time since the window's end and the term",
    'engine assigned': 'an engine follows another model',
    'load begins': 'an engine is ordered to load a version; with what waits and runs',
    'load ended': 'the engine reports the version',
    'load not seen to end': 'the engine did not report the version in time; it is asked again',
    'order not taken': 'an engine refused an order or gave no answer'
  }
} as const

/** Decisions that say what became of a step: without them nobody can tell where its time went, so they are left out last of all. */
export const decisiveEvents: ReadonlySet<DecidedEvent> = new Set<DecidedEvent>(['step submitted', 'step adopted', 'step whole', 'step dropped', 'wanted groups listed', 'item listed as lost', 'duty claimed', 'engine assigned'])

export type ChangedEvent = keyof typeof logEvents.changed
export type AlarmEvent = keyof typeof logEvents.alarm
export type DecidedEvent = keyof typeof logEvents.decided
