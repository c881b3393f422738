/** Log events 2000 to 2199: the log service and checkpoints. */
import {type EventDefinition} from '../definition.js';

export const LOG_EVENTS = {
  'log-unavailable': {
    number: 2000,
    level: 'warn',
    message:
      'The log service is unavailable; the node uses its in-memory state.',
    fields: {
      stream: 'the stream that was read or appended to',
      error: 'what failed',
      retryInMs: 'delay before the next attempt',
    },
    remedy: 'Check the log service and --log-url.',
  },
  'log-recovered': {
    number: 2001,
    level: 'info',
    message: 'The log service is available again.',
    fields: {
      stream: 'the stream that was read or appended to',
      outageMs: 'time since the previous response',
    },
  },
  'append-outcome-unknown': {
    number: 2002,
    level: 'warn',
    message:
      'An append got no response; the stream is read to find its outcome.',
    fields: {
      stream: 'the stream appended to',
      recordId: 'identifies the record that may have been appended',
      error: 'what failed',
    },
  },
  'append-outcome-settled': {
    number: 2003,
    level: 'info',
    message: 'The outcome of an append without a response was found.',
    fields: {
      stream: 'the stream appended to',
      recordId: 'identifies the record',
      appended: 'whether the stream contains it',
    },
  },
  'record-skipped': {
    number: 2004,
    level: 'error',
    message: 'A record could not be read and was skipped.',
    fields: {
      stream: 'the stream that contains it',
      offset: 'its offset',
      error: 'why it could not be read',
    },
    remedy: 'Upgrade the node if a newer release wrote the record.',
  },
  'stream-trimmed': {
    number: 2005,
    level: 'warn',
    message: 'Records were trimmed before the node read them.',
    fields: {
      stream: 'the stream',
      wantedOffset: 'the offset the node wanted to read',
      firstOffset: 'the oldest retained offset',
    },
    remedy: 'Retain records longer, or lower --checkpoint-every-records.',
  },
  'rules-unsupported': {
    number: 2006,
    level: 'error',
    message: 'The active rules version is not supported; the node stops.',
    fields: {
      rulesVersion: 'the active rules version',
      supportedVersion: 'the newest supported rules version',
    },
    remedy: 'Upgrade the node; it serves no requests until then.',
  },
  'checkpoint-written': {
    number: 2100,
    level: 'info',
    message: 'A checkpoint was appended.',
    fields: {
      stream: 'the stream of the checkpoint',
      coversOffset: 'the first offset that it does not cover',
      sizeBytes: 'its encoded size',
    },
  },
  'checkpoint-loaded': {
    number: 2101,
    level: 'info',
    message: 'The node loaded a checkpoint.',
    fields: {
      stream: 'the stream of the checkpoint',
      coversOffset: 'the first offset that it does not cover',
    },
  },
  'checkpoint-invalid': {
    number: 2102,
    level: 'error',
    message: 'A checkpoint could not be used; an older one is tried.',
    fields: {
      stream: 'the stream of the checkpoint',
      offset: 'its offset',
      error: 'why it could not be used',
    },
    remedy: 'Upgrade the node if a newer release wrote the checkpoint.',
  },
} as const satisfies Record<string, EventDefinition>;
