/** Log events 2200 to 2299 and 3400 to 3499: store, servers, scheduling. */
import {type EventDefinition} from '../definition.js';

export const SCHEDULING_EVENTS = {
  'dependency-lost': {
    number: 2200,
    level: 'warn',
    message: 'A dependency of this node is unreachable.',
    fields: {
      dependency: 'the dependency',
      error: 'what failed',
    },
    remedy: 'Check the logs of the other nodes at the same time.',
  },
  'dependency-regained': {
    number: 2201,
    level: 'info',
    message: 'A dependency of this node is reachable again.',
    fields: {
      dependency: 'the dependency',
    },
  },
  'server-changed': {
    number: 2202,
    level: 'info',
    message: 'A backend server appeared, changed its state or disappeared.',
    fields: {
      backendServerId: 'the backend server',
      state: 'ready, draining or gone',
      offset: 'offset of the record that reported it',
      source: 'the store, or the peer that forwarded it',
    },
  },
  'node-list-changed': {
    number: 3400,
    level: 'info',
    message: 'The list of nodes for callers changed.',
    fields: {nodeNames: 'the nodes in the list'},
  },
  'duty-holder-changed': {
    number: 3401,
    level: 'info',
    message: 'The scheduling node changed.',
    fields: {
      holderNodeName: 'the new scheduling node',
      fencingToken: 'its fencing token',
      isSelf: 'whether it is this node',
      quietForMs:
        'time for which it sends no orders to engines of unknown last order',
    },
  },
  'node-lost': {
    number: 3410,
    level: 'warn',
    message: 'A node stopped responding and was removed from the list.',
    fields: {lostNodeName: 'the node'},
    remedy: 'Check that its host is up; the node then rejoins by itself.',
  },
  'last-orders-told': {
    number: 3411,
    level: 'info',
    message: 'A former scheduling node reported its last orders.',
    fields: {
      holderIncarnation: 'incarnation of its process',
      engines: 'number of engines that it recently sent orders to',
    },
  },
  'duty-lost': {
    number: 3402,
    level: 'warn',
    message: 'An engine rejected an order because a newer node is scheduling.',
    fields: {fencingToken: 'the rejected token'},
  },
  'engine-ordered': {
    number: 3403,
    level: 'info',
    message: 'An order to load or unload a model was sent to an engine.',
    fields: {
      backendServerId: 'the engine',
      operation: 'load or unload',
      model: 'the model',
      adapter: 'the adapter, if any',
      expectedCount:
        'number of orders that the engine should have accepted before',
      outcome: 'the response of the engine',
      cause: 'what failed, if anything',
      tookMs: 'time until the response',
    },
  },
  'engine-silent': {
    number: 3405,
    level: 'warn',
    message: 'An engine does not report its state; no orders are sent to it.',
    fields: {backendServerId: 'the engine', error: 'what failed'},
    remedy: 'Check the engine and the network path to it from this host.',
  },
  'engine-heard': {
    number: 3406,
    level: 'info',
    message: 'An engine reports its state again; orders may be sent to it.',
    fields: {backendServerId: 'the engine'},
  },
  'ask-decided': {
    number: 3404,
    level: 'info',
    message: 'A request for a model was assigned to an engine or rejected.',
    fields: {
      requestId: 'the request',
      askId: 'id of the request between the two nodes',
      nodeAddress: 'address of the node that sent the request',
      model: 'the model',
      adapter: 'the adapter, if any',
      decision: 'assign or refuse',
      backendServerId: 'the assigned engine',
      reason: 'why it was rejected',
      retryAfterMs: 'retry delay sent to the caller',
      waitedMs: 'time since the request arrived at its node',
      waiting: 'number of requests still waiting',
      fencingToken: 'fencing token of the node that logs this event',
    },
  },
} as const satisfies Record<string, EventDefinition>;
