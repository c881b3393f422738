/** Settings of the node: name, location, addresses and certificates. */
import {type SettingDefinition} from '../definition.js';

export const NODE_SETTINGS = {
  'node-name': {
    type: 'name',
    required: true,
    description: 'Name of the node; no two nodes share one.',
  },
  region: {
    type: 'name',
    required: true,
    description: 'Region the node runs in.',
  },
  'failure-domain': {
    type: 'name',
    required: true,
    description: 'Failure domain the node runs in.',
  },
  'listen-host': {
    type: 'ip-address',
    default: '127.0.0.1',
    description: 'Address on which all ports listen.',
  },
  'advertise-host': {
    type: 'ip-address',
    defaultFrom: 'listen-host',
    description: 'Address at which callers and other nodes reach the node.',
  },
  'caller-port': {
    type: 'integer',
    default: '7080',
    min: 0,
    max: 65_535,
    description: 'TCP port for callers; 0 takes any free port.',
  },
  'admin-port': {
    type: 'integer',
    default: '7081',
    min: 0,
    max: 65_535,
    description: 'TCP port for operators; 0 takes any free port.',
  },
  'peer-port': {
    type: 'integer',
    default: '7082',
    min: 0,
    max: 65_535,
    description: 'TCP port for other nodes; 0 takes any free port.',
  },
  'caller-tls-cert-path': {
    type: 'text',
    minLength: 1,
    description: 'PEM file with the certificate shown to callers.',
  },
  'caller-tls-key-path': {
    type: 'text',
    minLength: 1,
    description: 'PEM file with the private key of that certificate.',
  },
  'admin-tls-cert-path': {
    type: 'text',
    minLength: 1,
    description: 'PEM file with the certificate shown to operators.',
  },
  'admin-tls-key-path': {
    type: 'text',
    minLength: 1,
    description: 'PEM file with the private key of that certificate.',
  },
  'tls-poll-interval-ms': {
    type: 'integer',
    default: '10000',
    min: 10,
    max: 3_600_000,
    description: 'Time between two looks for a new certificate or key.',
  },
} as const satisfies Record<string, SettingDefinition>;
