/** Settings of request handling and of warming. */
import {type SettingDefinition} from '../definition.js';

export const REQUEST_SETTINGS = {
  'max-body-bytes': {
    type: 'integer',
    default: '1048576',
    min: 1,
    max: 1_073_741_824,
    description: 'Largest body of a request.',
  },
  'default-deadline-ms': {
    type: 'integer',
    default: '30000',
    min: 1,
    max: 3_600_000,
    description: 'Time a request has when it names no deadline.',
  },
  'max-deadline-ms': {
    type: 'integer',
    default: '120000',
    min: 1,
    max: 3_600_000,
    description: 'Longest time that a request may ask for.',
  },
  'entries-ttl-ms': {
    type: 'integer',
    default: '5000',
    min: 1,
    max: 600_000,
    description: 'How long callers may cache the list of entry hosts.',
  },
  'max-answer-bytes': {
    type: 'integer',
    default: '16777216',
    min: 1,
    max: 1_073_741_824,
    description: 'Largest answer that is passed on; a larger one is ended.',
  },
  'caller-stall-ms': {
    type: 'integer',
    default: '30000',
    min: 1,
    max: 3_600_000,
    description:
      'How long a caller may leave its answer unread before it is cut off.',
  },
  'resume-window-ms': {
    type: 'integer',
    default: '60000',
    min: 0,
    max: 3_600_000,
    description:
      'How long after its deadline a request may still be asked for by its id.',
  },
  'resume-grace-ms': {
    type: 'integer',
    default: '5000',
    min: 0,
    max: 600_000,
    description:
      'Wait before a request is cancelled whose caller has gone, so that it can resume.',
  },
  'queue-limit': {
    type: 'integer',
    default: '1000',
    min: 0,
    max: 1_000_000,
    description: 'Requests that may wait in one queue; further are refused.',
  },
  'retry-budget-percent': {
    type: 'integer',
    default: '10',
    min: 0,
    max: 100,
    description: 'Retries allowed for each hundred requests.',
  },
} as const satisfies Record<string, SettingDefinition>;

export const WARMING_POLICIES = [
  'load-on-first-request',
  'fixed-lead',
  'timetable',
] as const;

export const WARMING_SETTINGS = {
  'warming-policy': {
    type: 'choice',
    default: 'timetable',
    choices: WARMING_POLICIES,
    description: 'When the replicas for an event are loaded.',
  },
  'fixed-lead-ms': {
    type: 'integer',
    default: '600000',
    min: 0,
    max: 86_400_000,
    description:
      'Time before the start of an event at which loads begin; used by the policy fixed-lead only.',
  },
  'cold-start-weight': {
    type: 'fraction',
    default: '0.5',
    min: 0,
    max: 1,
    description: 'How much a cold start counts against a decision.',
  },
  'idle-weight': {
    type: 'fraction',
    default: '0.5',
    min: 0,
    max: 1,
    description: 'How much an idle accelerator counts against a decision.',
  },
} as const satisfies Record<string, SettingDefinition>;
