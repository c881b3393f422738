/** Log events 2200 to 2299 and 3400 to 3499: store, servers, scheduling. */
import {type EventDefinition} from '../definition.js';

export const SCHEDULING_EVENTS = {
  'dependency-lost': {
    number: 2200,
    level: 'warn',
    message: 'Something that this node depends on can not be reached.',
    fields: {
      dependency: 'what it is',
      error: 'what failed',
    },
    remedy: 'Look at the same time in the logs of the other nodes.',
  },
  'dependency-regained': {
    number: 2201,
    level: 'info',
    message: 'Something that this node depends on can be reached again.',
    fields: {
      dependency: 'what it is',
      lostForMs: 'time since the first failed read; null for the first read',
      failedReads: 'consecutive reads that failed',
      delayMs: 'the delay before the read that succeeded',
      delayEnd:
        'what ended that delay: timer, reload, store-returned or newer-version',
      readMs: 'how long that read took',
    },
  },
  'server-changed': {
    number: 2202,
    level: 'info',
    message: 'A backend server has come, has changed its state or has gone.',
    fields: {
      backendServerId: 'the backend server',
      state: 'ready, draining or gone',
      softwareVersion: 'the software version that its entry states',
      offset: 'offset of the record that told it',
      source: 'the store, or the peer that passed it on',
    },
  },
  'store-restored': {
    number: 2203,
    level: 'warn',
    message:
      'The store came back from a copy that lacks its last records; all is read anew.',
    fields: {
      era: 'how often the store has come back, as it counts',
      isAssumed:
        'whether the store names no era, and is known by its offsets only',
    },
    remedy:
      'None for the nodes; see which records of others the copy lacks, and write them again.',
  },
  'store-era-unreadable': {
    number: 2204,
    level: 'warn',
    message: 'The store names its era in a form that cannot be read.',
    fields: {text: 'what the header holds'},
    remedy: 'Check what answers at the address of the store.',
  },
  'entry-left-out': {
    number: 2205,
    level: 'warn',
    message: 'An entry of a list can not be used and was left out.',
    fields: {
      list: 'the list',
      key: 'the start of the key of the entry',
      error: 'what is wrong with it',
    },
    remedy: 'Find out who wrote the entry, and correct or delete it.',
  },
  'node-list-changed': {
    number: 3400,
    level: 'info',
    message: 'The nodes that callers are sent to have changed.',
    fields: {nodeNames: 'the nodes'},
  },
  'named-hosts-changed': {
    number: 3409,
    level: 'info',
    message: 'The hosts that the directory may name to callers have changed.',
    fields: {
      basis:
        'report: the last one of the scheduling node; own-knowledge: there is none lately',
      reportAgeMs: 'the age of that report; null for none',
      nodeNames: 'the nodes',
      signs:
        'what told last that each of them lives: report or answer; null for nothing',
    },
  },
  'duty-holder-changed': {
    number: 3401,
    level: 'info',
    message: 'Another node has taken over the scheduling.',
    fields: {
      holderNodeName: 'the node that schedules now',
      fencingToken: 'its fencing token',
      isSelf: 'whether it is this node',
      quietForMs: 'how long it orders nobody of whom it knows no better',
    },
  },
  'node-lost': {
    number: 3410,
    level: 'warn',
    message: 'A node is silent and is taken off the list.',
    fields: {lostNodeName: 'the node'},
    remedy: 'Look whether its host runs; it comes back by itself if it does.',
  },
  'last-orders-told': {
    number: 3411,
    level: 'info',
    message: 'A node that scheduled orders no more and tells its last orders.',
    fields: {
      holderIncarnation: 'the life of its process',
      engines: 'engines that it or a holder before it has ordered lately',
      coversAllEngines: 'whether any other engine may have got an order too',
      successorToken: 'the term that it names; null if its process ends',
    },
  },
  'abandoned-requests-ended': {
    number: 3412,
    level: 'info',
    message: 'Requests ended whose node will not say how they end.',
    fields: {
      cause: 'node-restarted, node-removed or deadline-passed',
      nodeAddresses: 'the nodes that asked',
      runs: 'requests that were assigned; the quotas stay charged for them',
      waiting: 'requests that still waited',
    },
  },
  'duty-lost': {
    number: 3402,
    level: 'warn',
    message: 'An engine refused an order since a later holder gives orders.',
    fields: {fencingToken: 'the token that was refused'},
  },
  'engine-ordered': {
    number: 3403,
    level: 'info',
    message: 'An engine was ordered to load or unload.',
    fields: {
      backendServerId: 'the engine',
      operation: 'load or unload',
      model: 'the model',
      adapter: 'the adapter, if one was meant',
      tier: 'where a model is loaded from: host-memory, disk or store',
      expectedCount: 'how many orders it should have accepted before',
      outcome: 'what it answered',
      cause: 'what went wrong, if something did',
      tookMs: 'how long the answer took',
    },
  },
  'engine-silent': {
    number: 3405,
    level: 'warn',
    message: 'An engine does not tell its state, and gets no orders till then.',
    fields: {backendServerId: 'the engine', error: 'what failed'},
    remedy: 'Look at the engine, and at the way from this host to it.',
  },
  'engine-heard': {
    number: 3406,
    level: 'info',
    message: 'An engine tells its state again and may get orders.',
    fields: {backendServerId: 'the engine'},
  },
  'ask-decided': {
    number: 3404,
    level: 'info',
    message: 'A request for a model was assigned to an engine or refused.',
    fields: {
      requestId: 'the request',
      askId: 'by which the two nodes know the request',
      nodeAddress: 'the node that asked',
      model: 'the model',
      adapter: 'the adapter, if one was named',
      decision: 'assign or refuse',
      backendServerId: 'the engine that it was assigned to',
      reason: 'why it was refused',
      retryAfterMs: 'when the caller is told to come back',
      waitedMs: 'time since the request arrived at its node',
      waiting: 'requests that still wait',
      fencingToken: 'of the node that decided, which is the one that logs',
    },
  },
  'model-unserved': {
    number: 3413,
    level: 'info',
    message:
      'A model or adapter is asked for again and again, and no request for it is served.',
    fields: {
      model: 'the model',
      adapter: 'the adapter, if one was named',
      refusals:
        'requests that were refused since the last one that was assigned',
      unservedMs: 'time since the first of these',
      reason: 'why the last one was refused',
    },
    remedy:
      'See in events 3403 and 3404 of the model whether it was ordered, and what refused it; ' +
      'add engines if there is no room for it.',
  },
  'store-load-started': {
    number: 3414,
    level: 'info',
    message: 'An engine is to load a model from the weight store.',
    fields: {
      model: 'the model',
      backendServerId: 'the engine',
      victim: 'the model that makes room for it, if one has to',
      requestsPerSecond: 'the rate at which the model is asked for',
      refusals: 'requests for it that were refused since it was last served',
      copies: 'engines that hold the model or its weights',
      modelsWithoutCopy:
        'models that are asked for and that no engine holds or has the weights of, this one included',
      configuredWithoutCopy:
        'configured models that no engine holds or has the weights of',
      configuredWithOneCopy:
        'configured models that one engine alone holds or has the weights of',
      concurrency: 'loads from the store under way, this one included',
      limit: 'loads from the store that may run at once',
    },
  },
  'store-load-ended': {
    number: 3415,
    level: 'info',
    message: 'A load from the weight store no longer counts as under way.',
    fields: {
      model: 'the model',
      backendServerId: 'the engine',
      result:
        'loaded; early: the engine listed the model before its load can have ended; lost: no report of it came; gone: the engine has left or has not carried out the order',
      tookMs: 'time since the load was ordered, if it was loaded or lost',
      expectedMs: 'the time it takes at full speed',
      peakConcurrency: 'most loads from the store under way meanwhile',
      limit: 'loads from the store that may run at once from now on',
    },
  },
  'share-refused': {
    number: 3407,
    level: 'info',
    message: "A request was refused for lack of room in its team's share.",
    fields: {
      requestId: 'the request',
      model: 'the model, if one was named',
      team: 'the team; none for a request without a key',
      cost: 'what it would have used: prompt tokens and ten times the output tokens',
      waitedMs: 'time since the request arrived at its node',
      teamShare:
        'the share of the capacity that its team gets at this time; none if it was refused at the end of its wait',
      startsInMs:
        'when it would have started; none if not while the team asks for as much',
      dataAgeMs: 'age of the newest observation behind the forecast',
      retryAfterMs: 'when the caller is told to come back',
    },
    remedy:
      'If the team should be served, add engines, or raise its weight in MIMOSATACK_TEAM_WEIGHTS.',
  },
  'share-used': {
    number: 3408,
    level: 'debug',
    message: "A request was served and counts toward its team's share.",
    fields: {
      requestId: 'the request, if it is known',
      team: 'the team; none for a request without a key',
      cost: 'what it used: prompt tokens and ten times the output tokens',
    },
  },
  'service-coordination-changed': {
    number: 3420,
    level: 'info',
    message:
      'The scheduling node has begun or has ceased to assign the places of a plain service.',
    fields: {
      service: 'the service',
      isCoordinated: 'whether it assigns them from now on',
      cause:
        'rejection or load of a server, brittle or limit named by one, or no-pressure',
    },
  },
  'server-concurrency-lowered': {
    number: 3421,
    level: 'info',
    message: 'A plain server gets fewer requests at once, after a rejection.',
    fields: {
      service: 'the service',
      backendServerId: 'the server',
      limit: 'requests that it may have at once from now on',
      previousLimit: 'the limit before',
    },
    remedy:
      'If it comes often, the server has fewer slots than its entry states.',
  },
  'place-refused': {
    number: 3422,
    level: 'info',
    message: 'A request was refused a place at the servers of a plain service.',
    fields: {
      requestId: 'the request',
      service: 'the service',
      team: 'the team, empty for requests without one',
      isOnArrival: 'whether it was refused by a forecast, before it waited',
      teamShare: 'the share of the places that its team gets at this time',
      startsInMs:
        'when it would have started; none if no server may serve it or without data',
      dataAgeMs: 'age of the newest observation behind the forecast',
      retryAfterMs: 'when the caller is told to come back',
      waiting: 'requests that wait at all plain services',
    },
  },
} as const satisfies Record<string, EventDefinition>;
