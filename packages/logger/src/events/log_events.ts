/** Log events 2000 to 2199: the log service and checkpoints. */
import {type EventDefinition} from '../definition.js';

export const LOG_EVENTS = {
  'log-unavailable': {
    number: 2000,
    level: 'warn',
    message: 'The log service does not answer; the node works from memory.',
    fields: {
      stream: 'the stream that was read or appended to',
      error: 'what failed',
      retryInMs: 'when it is tried again',
    },
    remedy: 'Check the log service and --log-url.',
  },
  'log-recovered': {
    number: 2001,
    level: 'info',
    message: 'The log service answers again.',
    fields: {
      stream: 'the stream that was read or appended to',
      outageMs: 'time since the last answer before this one',
    },
  },
  'append-outcome-unknown': {
    number: 2002,
    level: 'warn',
    message: 'The answer to an append was lost; the stream is read to settle.',
    fields: {
      stream: 'the stream appended to',
      recordId: 'identifies the record that may have been appended',
      error: 'what failed',
    },
  },
  'append-outcome-settled': {
    number: 2003,
    level: 'info',
    message: 'The stream shows what became of an append without an answer.',
    fields: {
      stream: 'the stream appended to',
      recordId: 'identifies the record',
      appended: 'whether the stream holds it',
    },
  },
  'record-skipped': {
    number: 2004,
    level: 'error',
    message: 'A record could not be read and was skipped.',
    fields: {
      stream: 'the stream that holds it',
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
      firstOffset: 'the oldest offset still kept',
    },
    remedy: 'Keep records longer, or lower --checkpoint-every-records.',
  },
  'rules-unsupported': {
    number: 2006,
    level: 'error',
    message: 'Rules are in force that this release does not know; it stops.',
    fields: {
      rulesVersion: 'the rules in force',
      supportedVersion: 'the newest rules that this release knows',
    },
    remedy: 'Upgrade the node; it serves nothing until then.',
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
    message: 'The node begins from a checkpoint.',
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
