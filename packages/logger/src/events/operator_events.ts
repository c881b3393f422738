/** Log events 5000 to 5099: the operators' interface. */
import {type EventDefinition} from '../definition.js';

export const OPERATOR_EVENTS = {
  'operator-command-accepted': {
    number: 5000,
    level: 'info',
    message: "An operator's command was accepted.",
    fields: {
      operator: 'the operator who sent it',
      command: 'the command',
      subject: 'the object that it changes',
    },
  },
  'operator-command-refused': {
    number: 5001,
    level: 'info',
    message: "An operator's command was rejected.",
    fields: {
      operator: 'the operator who sent it',
      command: 'the command',
      subject: 'the object that it would have changed',
      error: 'why it was rejected',
    },
  },
  'operator-unauthenticated': {
    number: 5002,
    level: 'warn',
    message: "A request to the operators' interface had no valid token.",
    fields: {remoteAddress: 'address of the client', error: 'what was wrong'},
    remedy: 'Check for a misconfigured client or an attack.',
  },
  'operator-request-failed': {
    number: 5004,
    level: 'error',
    message:
      "A request to the operators' interface failed with an internal error.",
    fields: {
      requestId: 'id of the request, also in the response',
      route: 'the method and the route',
      error: 'what failed',
    },
    remedy: 'Report it with the log lines around it.',
  },
  'change-not-in-force': {
    number: 5003,
    level: 'warn',
    message: 'A change did not take effect on all live nodes in time.',
    fields: {
      offset: 'offset of the record that carried it',
      missingNodes: 'nodes that had not applied it',
      waitedMs: 'time spent waiting',
    },
    remedy: 'Check these nodes and their connection to the log service.',
  },
} as const satisfies Record<string, EventDefinition>;
