/** Log events 1000 to 1299: the process, its settings and certificates. */
import {type EventDefinition} from '../definition.js';

export const PROCESS_EVENTS = {
  'node-started': {
    number: 1000,
    level: 'info',
    message: 'The node has started; it is not ready yet.',
    fields: {
      incarnation: 'identifies this run of the node',
      callerPort: 'port bound for callers',
      adminPort: 'port bound for operators',
      peerPort: 'port bound for other nodes',
    },
  },
  'program-loaded': {
    number: 1011,
    level: 'info',
    message: 'The program has been loaded.',
    fields: {
      compiledCode:
        'used, or rejected: it is of another release or of other flags of the runtime, so that starts are slower; none in a build without it',
    },
  },
  'node-ready': {
    number: 1001,
    level: 'info',
    message: 'The node has read its streams and accepts requests.',
    fields: {startupMs: 'time since the node started'},
  },
  'start-failed': {
    number: 1002,
    level: 'fatal',
    message: 'The node could not start.',
    fields: {error: 'what failed'},
    remedy: 'Follow the remedy in the error, then start the node again.',
  },
  'shutdown-started': {
    number: 1003,
    level: 'info',
    message: 'A graceful shutdown has begun; callers are sent to other nodes.',
    fields: {
      signal: 'the signal that asked for it',
      requestsInFlight: 'requests that are still being served',
      graceMs: 'how long they are given to end',
    },
  },
  'shutdown-finished': {
    number: 1004,
    level: 'info',
    message: 'The shutdown is complete; no request was cut off.',
    fields: {durationMs: 'time since the shutdown began'},
  },
  'shutdown-cut-off': {
    number: 1005,
    level: 'error',
    message: 'The shutdown was ended early; what is listed was cut off.',
    fields: {
      reason: 'what ended it: a second signal, or the end of the grace',
      phase: 'how far it had got',
      requestsInFlight: 'how many requests were cut off',
      requests: 'each of them, with its id and its age',
      graceMs: 'the grace they were given',
    },
    remedy: 'Raise --shutdown-grace-ms above the longest deadline in use.',
  },
  'task-failed': {
    number: 1006,
    level: 'error',
    message: 'A task failed and will be started again.',
    fields: {
      task: 'name of the task',
      error: 'what failed',
      restartInMs: 'when it starts again',
    },
    remedy: 'Report it with the log lines around it.',
  },
  'lines-dropped': {
    number: 1010,
    level: 'warn',
    message: 'Log lines were left out since nobody read the log in time.',
    fields: {count: 'how many'},
    remedy: 'Look why the reader of the log stalls.',
  },
  'unexpected-error': {
    number: 1007,
    level: 'fatal',
    message: 'An error reached the top of the process, which now exits.',
    fields: {error: 'what failed'},
    remedy: 'Report it with the log lines around it.',
  },
  'shutdown-phase': {
    number: 1009,
    level: 'info',
    message: 'The shutdown has come to its next phase.',
    fields: {
      phase: 'the phase',
      requestsInFlight: 'requests that are still being served',
    },
  },
  'rejection-unhandled': {
    number: 1008,
    level: 'error',
    message: 'A failure was handled by nobody; the process goes on.',
    fields: {error: 'what failed'},
    remedy: 'Report it with the log lines around it.',
  },
  'settings-loaded': {
    number: 1100,
    level: 'info',
    message: 'The settings are valid.',
    fields: {settings: 'every setting in force; secrets are redacted'},
  },
  'settings-reloaded': {
    number: 1102,
    level: 'info',
    message: 'The settings file was read again.',
    fields: {
      changed: 'settings that are in force with their new values now',
      atNextStart: 'settings that have changed and need a restart',
    },
  },
  'settings-kept': {
    number: 1103,
    level: 'error',
    message: 'The settings file was read again and is faulty; nothing changes.',
    fields: {error: 'the faults'},
    remedy: 'Correct all the faults listed, then send SIGHUP again.',
  },
  'settings-rejected': {
    number: 1101,
    level: 'fatal',
    message: 'The settings are not valid; the node does not start.',
    fields: {faults: 'every fault, with its remedy'},
    remedy: 'Correct all the faults listed, then start the node again.',
  },
  'certificate-replaced': {
    number: 1200,
    level: 'info',
    message: 'A new certificate is in use; connections that are open keep on.',
    fields: {
      listener: 'who connects to it: callers or operators',
      certPath: 'the file it was read from',
      validTo: 'when it expires',
    },
  },
  'certificate-rejected': {
    number: 1201,
    level: 'error',
    message: 'A new certificate or key is not usable; the old pair is kept.',
    fields: {
      listener: 'who connects to it: callers or operators',
      certPath: 'the file of the certificate',
      error: 'what is wrong with the pair',
    },
    remedy: 'Write a certificate with its own key to both files.',
  },
  'metrics-undeliverable': {
    number: 1210,
    level: 'warn',
    message: 'Metrics could not be sent; nothing else is affected.',
    fields: {error: 'what failed'},
    remedy: 'Check the metrics server, --statsd-host and --statsd-port.',
  },
  'events-suppressed': {
    number: 1211,
    level: 'info',
    message: 'An event happened more often than it is logged.',
    fields: {
      suppressedEvent: 'name of the event',
      count: 'how many times it was left out since it was last logged',
    },
  },
} as const satisfies Record<string, EventDefinition>;
