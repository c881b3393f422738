/** The catalogue of metrics: names, types, tags and descriptions. */

export type MetricType = 'counter' | 'gauge' | 'timing';

export interface MetricDefinition {
  type: MetricType;
  description: string;
  /** The description of each tag; tags of the node are not listed. */
  tags: Readonly<Record<string, string>>;
}

const INTERFACE_TAGS = {
  interface: '`callers` or `operators`',
  kind: 'the route, such as `POST /v1/chat/completions`',
} as const;

const SHARE_TEAM_TAG =
  'the team; `(none)` for requests without a key; `(other)` for all but the 20 that cost most';

/** All metrics by name; timings are in milliseconds. */
export const METRIC_CATALOGUE = {
  'requests.received': counter('Requests that arrived.', INTERFACE_TAGS),
  'requests.refused': counter('Requests answered with an error.', {
    ...INTERFACE_TAGS,
    status: 'the HTTP status',
  }),
  'requests.duration': timing('Time until a request was answered in full.', {
    ...INTERFACE_TAGS,
  }),
  'requests.in_flight': gauge('Requests that are being served.', {
    interface: '`callers` or `operators`',
  }),
  'backends.running': gauge('Requests that run on the engines of a pool.', {
    pool: 'the pool of backend servers',
  }),
  'backends.queued': gauge('Requests that wait at the engines of a pool.', {
    pool: 'the pool of backend servers',
  }),
  'backends.unreachable': gauge('Backend servers that do not answer.', {
    pool: 'the pool of backend servers',
  }),
  'backends.draining': gauge('Backend servers an operator drains.', {}),
  'replicas.decided': gauge('Replicas that are decided.', {}),
  'replicas.warm': gauge('Replicas that are warm.', {}),
  'replicas.loading': gauge('Replicas that are being loaded.', {}),
  'loads.finished': counter('Loads ended, of the engines this node holds.', {
    model: 'the model',
  }),
  'loads.duration': timing('Time that a load took at its engine.', {
    model: 'the model',
  }),
  'loads.cold': counter(
    'Loads that ended after the start of their event, or outside events.',
    {model: 'the model'},
  ),
  'log.reachable': gauge('1 while the node reads the log itself, else 0.', {}),
  'log.silence_ms': gauge('Time since the log service last answered.', {}),
  'fold.next_offset': gauge('The next log offset to fold.', {}),
  'fold.sequence': gauge('Records folded since the log began.', {}),
  'fold.void': counter('Records that were found void.', {
    reason: 'why, such as `version-conflict`',
  }),
  'fold.behind': gauge('Offsets behind the most advanced node known.', {}),
  'members.count': gauge('Nodes, by what is believed of them.', {
    status: '`alive`, `suspect`, `leaving` or `gone`',
  }),
  'stewardships.held': gauge('Backend servers that this node holds.', {}),
  'audit.pending': gauge('Changes not yet seen in the audit stream.', {}),
  'answers.finished': counter('Requests that have their final answer.', {
    result: '`answered`, `refused`, `broken-off` or `caller-gone`',
    kind: 'the kind of the refusal or failure, empty for an answer',
  }),
  'answers.duration': timing('Time until the final answer.', {
    result: '`answered`, `refused`, `broken-off` or `caller-gone`',
  }),
  'attempts.sent': counter('Requests sent to backend servers.', {
    isSameDomain:
      '`true` for servers in the failure domain of the node, else `false`',
  }),
  'attempts.ended': counter('Attempts at backend servers that have ended.', {
    outcome: 'how, such as `answered`, `not-run` or `broken`',
    next: 'what was done with the request: `end`, `try-elsewhere`, `give-up`',
  }),
  'attempts.head': timing('Time until a backend server began its answer.', {}),
  'streams.resumed': counter('Requests that resume a stream.', {
    source:
      'how its software version is known: `own`, `other-host`, `only-version`; `unknown`: refused',
  }),
  'streams.known': gauge(
    'Streams whose software version this node knows, its own and copies.',
    {},
  ),
  'streams.mixed_services': gauge(
    'Services that run at several software versions, or did in the last minute.',
    {},
  ),
  'retries.decided': counter('Retries that the bound allowed or held back.', {
    service: 'the service',
    decision: '`allowed` or `held-back`',
  }),
  'retries.share': gauge(
    'The fraction of the slack for retries that this node may use; 0 after its start and while it cannot know how many nodes share it.',
    {},
  ),
  'schedule.decided': counter('Requests for models that were decided on.', {
    decision: '`assign` or `refuse`',
    reason: 'why it was refused, empty for an assignment',
  }),
  'schedule.waited': timing('Time that requests for models waited.', {
    decision: '`assign` or `refuse`',
  }),
  'shares.served_cost': counter(
    'Cost of requests that were served, of the node that schedules.',
    {team: SHARE_TEAM_TAG},
  ),
  'shares.refused_cost': counter(
    'Cost of requests that were refused for lack of room, of the node that schedules.',
    {team: SHARE_TEAM_TAG},
  ),
  'orders.sent': counter('Orders to engines, of the node that schedules.', {
    operation: '`load` or `unload`',
    outcome: 'what the engine answered',
  }),
  'orders.duration': timing('Time until an engine answered an order.', {
    operation: '`load` or `unload`',
  }),
  'store.calls': counter("Calls to the platform's store.", {
    call: 'the call',
    outcome: 'the status, or `unanswered`',
  }),
  'store.duration': timing("Time until the platform's store answered.", {
    call: 'the call; a read waits for a change on purpose',
  }),
  'store.era': gauge(
    "How often the platform's store has come back from a copy, as it counts.",
    {},
  ),
  'dependencies.lost': counter('Times that a dependency was lost.', {
    dependency: 'what was lost',
  }),
  'duties.taken': counter('Changes of the node that schedules.', {
    holder: '`self` or `other`',
  }),
  'containment.contained': gauge(
    'Requests that are sent to no server, since servers ended under them.',
    {},
  ),
  'containment.contained_parts': gauge(
    'Parts of prompts with which requests are sent to no server.',
    {},
  ),
  'containment.suspected': gauge(
    'Requests and parts of prompts that were cut at a server that may have ended under them.',
    {},
  ),
  'containment.sent': counter(
    'Attempts with requests under which servers may have ended.',
    {reason: '`suspected`, or `probe` of a contained one'},
  ),
  'configuration.version': gauge('The configuration in force.', {}),
  'configuration.age_ms': gauge(
    'Time since the configuration was known to be the newest.',
    {},
  ),
  'keys.refused': counter('Requests refused for their keys.', {
    kind: 'the kind of the refusal',
  }),
  'quotas.refused': counter("Requests refused beyond their team's quota.", {
    team: 'the team',
    decidedBy: '`holder` or `node`',
  }),
  'quotas.rate': gauge("A team's quota a second.", {team: 'the team'}),
  'quotas.level': gauge('What a team has left, as this node knows.', {
    team: 'the team',
  }),
  'quotas.unsettled': gauge(
    'What a team has spent here that the holder does not know of.',
    {team: 'the team'},
  ),
  'servers.known': gauge('Backend servers in the list.', {}),
  'servers.limited': gauge('Backend servers that name a limit.', {}),
  'servers.leaving': gauge(
    'Backend servers that said in a response that they are leaving.',
    {},
  ),
  'servers.paused': gauge(
    'Backend servers that want no request of this host for some time.',
    {},
  ),
  'schedule.unserved': gauge(
    'Models and adapters that are asked for again and again and never served; at the node that schedules.',
    {},
  ),
  'schedule.models_without_copy': gauge(
    'Configured models that no engine holds or has the weights of, so that they come from the weight store; at the node that schedules.',
    {},
  ),
  'schedule.models_with_one_copy': gauge(
    'Configured models that one engine alone holds or has the weights of; at the node that schedules.',
    {},
  ),
  'places.services': gauge(
    'Plain services whose places this node assigns for all nodes.',
    {},
  ),
  'places.limit': gauge(
    'Requests that the servers of these services may have at once.',
    {},
  ),
  'places.taken': gauge('Requests that these servers have.', {}),
  'servers.cut_off': gauge(
    '1 while this node reaches backend servers only through other nodes.',
    {},
  ),
  'servers.relays': gauge(
    'Connections to backend servers that this node holds for other nodes.',
    {},
  ),
  'servers.relays_ended': counter(
    'Connections that this node relayed and that have ended.',
    {endedBy: '`server`, `reset` or `requester`'},
  ),
  'servers.age_ms': gauge('Time since the list was read from the store.', {}),
  'duties.held': gauge('1 while this node schedules, else 0.', {}),
  'memory.held_bytes': gauge(
    'Memory that requests hold: bodies, responses held back or not read, and their state.',
    {},
  ),
  'memory.limit_bytes': gauge(
    'The limit for it: a quarter of the memory of the host, at least 16 MB.',
    {},
  ),
  'memory.refused': counter('Requests refused since no memory was left.', {}),
  'memory.cut_off': counter(
    'Callers cut off that read nothing for 2 s while no memory was left.',
    {},
  ),
  'logs.dropped': counter('Log lines that were left out.', {}),
  'process.resident_bytes': gauge('Resident memory of the process.', {}),
} as const satisfies Record<string, MetricDefinition>;

type Catalogue = typeof METRIC_CATALOGUE;

export type MetricName = keyof Catalogue;

/** Names of the metrics of type `T`. */
export type MetricNameOf<T extends MetricType> = {
  [N in MetricName]: Catalogue[N]['type'] extends T ? N : never;
}[MetricName];

/** The tags that the catalogue defines for a metric. */
export type MetricTags<N extends MetricName> = {
  readonly [K in keyof Catalogue[N]['tags']]: string;
};

export const METRIC_NAMES = Object.keys(
  METRIC_CATALOGUE,
) as readonly MetricName[];

function counter<T extends Record<string, string>>(
  description: string,
  tags: T,
) {
  return {type: 'counter', description, tags} as const;
}

function gauge<T extends Record<string, string>>(description: string, tags: T) {
  return {type: 'gauge', description, tags} as const;
}

function timing<T extends Record<string, string>>(
  description: string,
  tags: T,
) {
  return {type: 'timing', description, tags} as const;
}
