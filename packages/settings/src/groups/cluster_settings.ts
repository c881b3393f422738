/** Settings of the platform, other nodes, logs, metrics and shutdown. */
import {LOG_DESTINATIONS, LOG_LEVELS} from '@mimosatack/logger';
import {type SettingDefinition} from '../definition.js';

export const PLATFORM_SETTINGS = {
  'log-url': {
    type: 'url',
    required: true,
    description: 'Base URL of the log service.',
  },
  'host-list-url': {
    type: 'url',
    required: true,
    description: 'URL of the list of live and leaving hosts.',
  },
  'weight-store-url': {
    type: 'url',
    required: true,
    description: 'Base URL of the weight store.',
  },
  'poll-interval-ms': {
    type: 'integer',
    default: '500',
    min: 10,
    max: 60_000,
    description: 'Time between two looks at the platform and at engines.',
  },
  'checkpoint-every-records': {
    type: 'integer',
    default: '1000',
    min: 1,
    max: 1_000_000,
    description: 'Records of a stream after which a checkpoint is appended.',
  },
  'checkpoint-interval-ms': {
    type: 'integer',
    default: '600000',
    min: 1_000,
    max: 86_400_000,
    description:
      'Time after which a checkpoint is appended even if few records came; a small part of the time for which the log service keeps records.',
  },
} as const satisfies Record<string, SettingDefinition>;

export const PEER_SETTINGS = {
  'peer-seeds': {
    type: 'address-list',
    default: '',
    separator: ',',
    description: 'Peer addresses of some other nodes, to be tried first.',
  },
  'cluster-secret': {
    type: 'text',
    required: true,
    secret: true,
    minLength: 16,
    description:
      'Signs tickets and messages between nodes; the same on all nodes.',
  },
  'heartbeat-interval-ms': {
    type: 'integer',
    default: '1000',
    min: 10,
    max: 60_000,
    description: 'Time between two heartbeats to another node.',
  },
  'steward-takeover-grace-ms': {
    type: 'integer',
    default: '10000',
    min: 0,
    max: 600_000,
    description:
      'Wait before the steward of a silent node is replaced, so that its last orders have arrived.',
  },
} as const satisfies Record<string, SettingDefinition>;

export const OPERATION_SETTINGS = {
  'bootstrap-admin-token-hash': {
    type: 'sha256-hex',
    secret: true,
    description:
      "SHA-256 of the first operator's token, in hexadecimal; left out once there are operators.",
  },
  'log-level': {
    type: 'choice',
    default: 'info',
    choices: LOG_LEVELS,
    description: 'Log events below this level are left out.',
  },
  'log-destination': {
    type: 'choice',
    default: 'stdout',
    choices: LOG_DESTINATIONS,
    description: 'Standard stream that takes the log.',
  },
  'statsd-host': {
    type: 'text',
    minLength: 1,
    description: 'Host that takes metrics; without it none are sent.',
  },
  'statsd-port': {
    type: 'integer',
    default: '8125',
    min: 1,
    max: 65_535,
    description: 'UDP port that takes metrics.',
  },
  'audit-keep-days': {
    type: 'integer',
    default: '90',
    min: 1,
    max: 3_650,
    description: 'How long the audit trail keeps a change.',
  },
  'audit-copy-after-minutes': {
    type: 'integer',
    default: '360',
    min: 1,
    max: 100_000,
    description:
      'Age at which the audit trail is copied to the end of its stream; at most a third of the time for which the log service keeps records.',
  },
  'shutdown-grace-ms': {
    type: 'integer',
    default: '150000',
    min: 0,
    max: 3_600_000,
    description: 'How long a shutdown waits for the requests in flight.',
  },
} as const satisfies Record<string, SettingDefinition>;
