/** Log events 5000 to 5099: the operators' interface. */
import {type EventDefinition} from '../definition.js';

export const OPERATOR_EVENTS = {
  'operator-command-accepted': {
    number: 5000,
    level: 'info',
    message: "An operator's command was accepted.",
    fields: {
      operator: 'who gave it',
      command: 'the command',
      subject: 'what it changes',
    },
  },
  'operator-command-refused': {
    number: 5001,
    level: 'info',
    message: "An operator's command was refused.",
    fields: {
      operator: 'who gave it',
      command: 'the command',
      subject: 'what it would have changed',
      error: 'why it was refused',
    },
  },
  'operator-unauthenticated': {
    number: 5002,
    level: 'warn',
    message: "A request to the operators' interface had no valid token.",
    fields: {remoteAddress: 'where it came from', error: 'what was wrong'},
    remedy: 'Look for a misconfigured client, or for an attack.',
  },
  'operator-request-failed': {
    number: 5004,
    level: 'error',
    message: "A request to the operators' interface met an internal error.",
    fields: {
      requestId: 'the id that the answer carries',
      route: 'the method and the route',
      error: 'what failed',
    },
    remedy: 'Report it with the log lines around it.',
  },
  'change-not-in-force': {
    number: 5003,
    level: 'warn',
    message: 'A change was not in force on all live nodes in time.',
    fields: {
      offset: 'offset of the record that carried it',
      missingNodes: 'the nodes that had not folded it',
      waitedMs: 'how long was waited',
    },
    remedy: 'Check these nodes, and whether they reach the log service.',
  },
} as const satisfies Record<string, EventDefinition>;
