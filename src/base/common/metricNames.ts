/**
 * Names of all counters and measures, with their meanings. docs/METRICS.md is written from this
 * table. Names that end in a code or a task's name have the forms of `CodedMetric`.
 */

export const counters = {
  'admission.granted': 'slots granted by this home',
  'admission.home_silent': 'homes that did not answer a request for a slot',
  'admission.refused': 'requests for a slot refused by this home',
  'admission.revoked': 'slots asked back',
  'calls.attempt_failed': 'attempts at a target that did not bring the answer',
  'calls.second_target': 'requests sent once more over a new connection because the first answer was late',
  'calls.unusable_answer': "answers that were another request's, or not the target's",
  'checkpoint.failed': 'checkpoints that the log did not take',
  'checkpoint.written': 'checkpoints written',
  'claims.answered': 'once-only calls whose outcome is recorded',
  'claims.released': 'claims given back, as nothing ran',
  'claims.unknown': 'once-only calls whose outcome is not known',
  'completions.whole': 'streams that were answered whole',
  'connections.dropped': 'connections refused since there are too many',
  'front.broken_requests': "requests at the callers' address that are not HTTP, too large or too slow",
  'groups.submitted': 'groups submitted by trainers',
  'host.woke': 'freezes of this process',
  'host_list.silent': 'looks at the host list without an answer',
  'lease.taken': 'leases taken',
  'log.append_failed': 'appends to the log without success',
  'log.appends': 'appends to the log',
  'log.back': 'ends of outages of the log',
  'log.characters': 'characters folded',
  'log.cut_suspected': 'relayed reads that do not count as fresh, as a whole place is lost',
  'log.end_behind': 'times the log ended before what was read',
  'log.entries': 'entries folded',
  'log.gap': 'times the next entry was gone',
  'log.lost': 'outages of the log',
  'log.queue_full': 'records refused since too many wait',
  'log.relayed': 'entries read through another host',
  'log.repeated': 'records appended again',
  'log.skipped': 'records skipped',
  'membership.died': 'hosts that became dead',
  'membership.silent_connection': 'connections between hosts that went silent while new ones worked',
  'membership.suspected': 'hosts that became suspect',
  'operator.unreadable_records': 'configurations and named versions that cannot be read',
  'orders.not_taken': 'orders that an engine refused or left unanswered',
  'orders.reports': 'questions to engines about their state',
  'orders.sent': 'orders sent to engines',
  'payload.moved': 'payloads appended anew',
  'payload.unreadable': 'payloads that could not be read',
  'peers.calls': 'calls to other hosts',
  'peers.characters': 'characters of calls to other hosts',
  'progress.saved': "saves of running items' progress",
  'progress.not_saved': 'saves that the store did not take',
  'requests.broken': 'requests that are not HTTP',
  'requests.crashed': 'handlers that failed',
  'requests.retried': 'second attempts',
  'rollouts.finished': 'rollouts finished',
  'rollouts.outdated': 'rollouts too old to be handed over',
  'rollouts.preempted': 'rollouts that made room',
  'rollouts.started': 'rollouts started',
  'rollouts.stragglers': 'second attempts of stragglers',
  'samples.backed_up': 'samples kept for another host',
  'samples.handed_over': 'samples given to trainers',
  'samples.held': 'samples that wait for the log',
  'samples.recorded': 'samples recorded',
  'samples.taken_over': 'samples taken over from a lost host',
  'scorer.failed': 'calls to a scorer without a score',
  'services.answered': 'calls to services answered',
  'state.not_found': 'looks for a state without success',
  'steps.resumed': 'items that went on from saved events',
  'steps.contents_searched': 'reads of a step\'s payloads or texts among the newest records, where their place was not known or forgotten',
  'steps.contents_read': 'reads of a step\'s payloads or texts that this host did not hold',
  'steps.reused': 'items served by a result of an earlier step',
  'steps.lost': 'items listed as lost',
  'store.appends': 'appends to the store',
  'store.calls': 'calls to the store',
  'store.calls_failed': 'calls to the store without an answer',
  'store.relayed': 'calls to the store through another host',
  'store.reloads': 'topics loaded anew since their history was gone',
  'targets.outdated_entries': 'entries of earlier lives of targets, passed over',
  'targets.restarted': 'targets that started again under their id',
  'targets.silent': 'targets that went silent',
  'targets.unreadable_entries': 'entries of targets that cannot be read',
  'task.failed': 'messages that made a task fail',
  'weights.changed': 'changes of weights seen'
} as const

export const gauges = {
  'checkpoint.characters': 'characters of the newest checkpoint',
  'duty.alone': "1 while this host surely is the only one that holds the steps' duty, otherwise 0",
  'duty.term': "term of the steps' duty as this host knows it",
  'front.requests': 'requests of callers in flight',
  'items.listing': 'items whose results this host has offered to the store',
  'items.running': 'items that engines run for this host',
  'items.scoring': 'items of this host that wait for their score',
  'items.waiting': 'items of this host that wait for an engine',
  'steps.items': 'items under way at this host',
  'store.backlog': 'records that the store has not confirmed',
  'targets.known': 'targets that have an entry',
  'targets.suspect': 'targets that failed lately and are asked last'
} as const

/** Times in milliseconds. */
export const timings = {
  'calls.answer': 'time from a request to its answer',
  'completions.time': 'time of a whole completion',
  'services.time': 'time of a call to a service',
  'steps.accept': 'time from a submission to its acceptance',
  'steps.payloads': 'items: until what their runs need has been read',
  'steps.waiting': 'items: until an engine took them',
  'steps.starting': 'items: from there to the first event of the run',
  'steps.running': 'items: from the first event of a run to its end',
  'steps.scoring': 'items: until the scorer has answered',
  'steps.writing': 'items: until the store has the text',
  'steps.listing': 'items: until the result is read back from the topic',
  'steps.wanted': 'time from a submission until the wanted groups are listed',
  'steps.run': "time of an item's run at an engine"
} as const

/** Counters with a result code or the name of a task at their end. */
export type CodedMetric = `completions.${string}` | `orders.failed.${string}` | `refused.${string}` | `rollouts.ended.${string}` | `services.${string}` | `task.${string}.failed` | `front.refused.${string}`

export type CounterName = keyof typeof counters | CodedMetric
export type GaugeName = keyof typeof gauges
export type TimingName = keyof typeof timings
