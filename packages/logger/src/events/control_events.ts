/** Log events 3000 to 3399: configuration, placement, stewardship, membership. */
import {type EventDefinition} from '../definition.js';

export const CONTROL_EVENTS = {
  'configuration-applied': {
    number: 3000,
    level: 'info',
    message: 'A configuration took effect on this node.',
    fields: {
      offset: 'offset of the record that carried it',
      configurationVersion: 'its version',
      lagMs: 'time since it was accepted',
    },
  },
  'configuration-refused': {
    number: 3001,
    level: 'warn',
    message: 'A configuration change was rejected.',
    fields: {
      offset: 'offset of the record that carried it',
      operator: 'the operator who requested it',
      error: 'why it was rejected',
    },
    remedy: 'Read the current version and apply the change again.',
  },
  'configuration-late': {
    number: 3002,
    level: 'warn',
    message: 'A configuration took longer than allowed to take effect.',
    fields: {
      configurationVersion: 'its version',
      lagMs: 'time since it was accepted',
    },
    remedy: 'Check the log service and the connections between nodes.',
  },
  'placement-decided': {
    number: 3100,
    level: 'info',
    message: 'Replicas for an event were placed.',
    fields: {
      eventId: 'the event',
      replicas: 'number of replicas placed',
      missingReplicas: 'number of requested replicas that were not placed',
      fencingNumber: 'fencing number of the decision',
    },
  },
  'capacity-short': {
    number: 3101,
    level: 'warn',
    message: 'Accelerator memory is insufficient for an event.',
    fields: {
      eventId: 'the event',
      missingReplicas: 'number of replicas that could not be placed',
      startsInMs: 'time until the event starts',
    },
    remedy: 'Add runners, or lower the capacity in the template.',
  },
  'load-ordered': {
    number: 3102,
    level: 'info',
    message: 'An order to load a model was sent to a model engine.',
    fields: {
      backendServerId: 'the backend server',
      model: 'the model, with adapter and version',
      slotId: 'the target slot',
      orderId: 'identifies the order',
      fencingNumber: 'fencing number of the order',
    },
  },
  'replica-warm': {
    number: 3103,
    level: 'info',
    message: 'A replica is warm.',
    fields: {
      backendServerId: 'the backend server',
      model: 'the model, with adapter and version',
      slotId: 'the slot that holds it',
      loadMs: 'time since the order',
    },
  },
  'load-failed': {
    number: 3104,
    level: 'warn',
    message: 'Loading a model failed; the placement will be decided again.',
    fields: {
      backendServerId: 'the backend server',
      model: 'the model, with adapter and version',
      slotId: 'the target slot',
      error: 'what failed',
    },
    remedy: 'Check the backend server and the weight store.',
  },
  'unload-ordered': {
    number: 3105,
    level: 'info',
    message: 'An order to unload a model was sent to a model engine.',
    fields: {
      backendServerId: 'the backend server',
      slotId: 'the slot that is cleared',
      orderId: 'identifies the order',
      fencingNumber: 'fencing number of the order',
    },
  },
  'event-not-warm': {
    number: 3106,
    level: 'error',
    message: 'An event started before all its replicas were warm.',
    fields: {
      eventId: 'the event',
      missingReplicas: 'number of replicas not yet warm',
    },
    remedy: 'Create events earlier, or raise the weight store limits.',
  },
  'stewardship-acquired': {
    number: 3200,
    level: 'info',
    message: 'This node is now the steward of a backend server.',
    fields: {
      backendServerId: 'the backend server',
      epoch: 'epoch of its claim',
      rank: '0 for the claim holder, otherwise its position as successor',
    },
  },
  'stewardship-lost': {
    number: 3201,
    level: 'warn',
    message: 'This node is no longer the steward of a backend server.',
    fields: {
      backendServerId: 'the backend server',
      epoch: 'epoch of its former claim',
    },
  },
  'order-fenced-off': {
    number: 3202,
    level: 'warn',
    message: 'An engine rejected an order with a stale fencing number.',
    fields: {
      backendServerId: 'the backend server',
      orderId: 'identifies the order',
      fencingNumber: 'fencing number of the order',
    },
  },
  'stewardship-yielded': {
    number: 3203,
    level: 'info',
    message: 'A node that is shutting down released its backend servers.',
    fields: {
      backendServerIds:
        'backend servers that another node may take over immediately',
      keptIds:
        'backend servers that stay claimed until the node counts as gone',
      reason: 'why some stay claimed, if any do',
    },
  },
  'peer-connected': {
    number: 3300,
    level: 'info',
    message: 'A connection to another node was opened.',
    fields: {peer: 'the other node', address: 'its address'},
  },
  'peer-disconnected': {
    number: 3301,
    level: 'warn',
    message: 'A connection to another node was lost.',
    fields: {
      peer: 'the other node',
      error: 'why it was lost',
      retryInMs: 'delay before the next connection attempt',
    },
  },
  'peer-message-refused': {
    number: 3302,
    level: 'warn',
    message: 'A message from another node was rejected.',
    fields: {peer: 'the other node', error: 'why it was rejected'},
    remedy: 'Run all nodes with the same --cluster-secret and release.',
  },
  'member-joined': {
    number: 3303,
    level: 'info',
    message: 'A node joined the cluster.',
    fields: {member: 'the node', failureDomain: 'its failure domain'},
  },
  'member-left': {
    number: 3304,
    level: 'info',
    message: 'A node left the cluster or was declared dead.',
    fields: {member: 'the node', reason: 'why it was removed'},
  },
  'host-leaving': {
    number: 3305,
    level: 'info',
    message: 'The host of a backend server is leaving; no new work is sent.',
    fields: {backendServerId: 'the backend server'},
  },
  'host-list-unavailable': {
    number: 3306,
    level: 'warn',
    message: 'The host list is unavailable; the last copy is used.',
    fields: {error: 'what failed', ageMs: 'age of the copy'},
    remedy: 'Check the host list service and --host-list-url.',
  },
} as const satisfies Record<string, EventDefinition>;
