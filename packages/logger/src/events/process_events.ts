/** Log events 1000 to 1299: the process, its settings and certificates. */
import {type EventDefinition} from '../definition.js';

export const PROCESS_EVENTS = {
  'node-started': {
    number: 1000,
    level: 'info',
    message: 'The node started; it is not ready yet.',
    fields: {
      incarnation: 'identifies this run of the node',
      callerPort: 'port that listens for callers',
      adminPort: 'port that listens for operators',
      peerPort: 'port that listens for other nodes',
    },
  },
  'program-loaded': {
    number: 1011,
    level: 'info',
    message: 'The program was loaded.',
    fields: {
      compiledCode:
        'used; rejected if built for another release or other runtime flags, which slows the start; or none if the build has none',
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
    message: 'A graceful shutdown started; callers are sent to other nodes.',
    fields: {
      signal: 'the signal that requested it',
      requestsInFlight: 'number of requests in flight',
      graceMs: 'time allowed for them to complete',
    },
  },
  'shutdown-finished': {
    number: 1004,
    level: 'info',
    message: 'The shutdown completed; no request was aborted.',
    fields: {durationMs: 'time since the shutdown started'},
  },
  'shutdown-cut-off': {
    number: 1005,
    level: 'error',
    message: 'The shutdown ended early; the listed requests were aborted.',
    fields: {
      reason: 'what ended it: a second signal, or the grace period',
      phase: 'the phase in which it ended',
      requestsInFlight: 'number of aborted requests',
      requests: 'id and age of each aborted request',
      graceMs: 'the grace period',
    },
    remedy: 'Raise --shutdown-grace-ms above the longest deadline in use.',
  },
  'task-failed': {
    number: 1006,
    level: 'error',
    message: 'A task failed and will be restarted.',
    fields: {
      task: 'name of the task',
      error: 'what failed',
      restartInMs: 'delay before the restart',
    },
    remedy: 'Report it with the log lines around it.',
  },
  'lines-dropped': {
    number: 1010,
    level: 'warn',
    message: 'Log lines were dropped because the log reader was too slow.',
    fields: {count: 'number of dropped lines'},
    remedy: 'Check why the log reader stalls.',
  },
  'unexpected-error': {
    number: 1007,
    level: 'fatal',
    message: 'An uncaught error occurred; the process exits.',
    fields: {error: 'what failed'},
    remedy: 'Report it with the log lines around it.',
  },
  'shutdown-phase': {
    number: 1009,
    level: 'info',
    message: 'The shutdown entered its next phase.',
    fields: {
      phase: 'the phase',
      requestsInFlight: 'number of requests in flight',
    },
  },
  'rejection-unhandled': {
    number: 1008,
    level: 'error',
    message: 'A promise rejection was not handled; the process continues.',
    fields: {error: 'what failed'},
    remedy: 'Report it with the log lines around it.',
  },
  'settings-loaded': {
    number: 1100,
    level: 'info',
    message: 'The settings are valid.',
    fields: {settings: 'all settings in effect; secrets are redacted'},
  },
  'settings-reloaded': {
    number: 1102,
    level: 'info',
    message: 'The settings file was reloaded.',
    fields: {
      changed: 'settings whose new values are in effect',
      atNextStart: 'changed settings that need a restart',
    },
  },
  'settings-kept': {
    number: 1103,
    level: 'error',
    message:
      'The reloaded settings file is invalid; the settings are unchanged.',
    fields: {error: 'the faults in the file'},
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
    message: 'A new certificate is in use; open connections are unaffected.',
    fields: {
      listener: 'who connects to it: callers or operators',
      certPath: 'the file it was read from',
      validTo: 'when it expires',
    },
  },
  'certificate-rejected': {
    number: 1201,
    level: 'error',
    message: 'A new certificate or key is invalid; the old pair stays in use.',
    fields: {
      listener: 'who connects to it: callers or operators',
      certPath: 'the file of the certificate',
      error: 'what is wrong with the pair',
    },
    remedy: 'Write a certificate and its matching key to the two files.',
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
    message: 'Repeats of a rate-limited event were not logged.',
    fields: {
      suppressedEvent: 'name of the event',
      count: 'number of suppressed log lines since it was last logged',
    },
  },
} as const satisfies Record<string, EventDefinition>;
