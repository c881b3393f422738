/** Validation rules that involve several settings. */
import {isIPv4} from 'node:net';
import {type SettingFault} from './fault.js';
import {type DaemonSettings, type SettingName, toFlag} from './schema.js';

/** The settings with valid values. */
export type PartialSettings = Partial<DaemonSettings>;

interface Contradiction {
  settings: readonly SettingName[];
  message: string;
  remedy: string;
  isViolated(settings: PartialSettings): boolean;
}

const CONTRADICTIONS: readonly Contradiction[] = [
  {
    settings: ['caller-tls-cert-path', 'caller-tls-key-path'],
    message: 'A certificate and its key only work together.',
    remedy: 'Give both --caller-tls-cert-path and --caller-tls-key-path.',
    isViolated: ({callerTlsCertPath: cert, callerTlsKeyPath: key}) =>
      (cert === undefined) !== (key === undefined),
  },
  {
    settings: ['admin-tls-cert-path', 'admin-tls-key-path'],
    message: 'A certificate and its key only work together.',
    remedy: 'Give both --admin-tls-cert-path and --admin-tls-key-path.',
    isViolated: ({adminTlsCertPath: cert, adminTlsKeyPath: key}) =>
      (cert === undefined) !== (key === undefined),
  },
  {
    settings: ['caller-port', 'admin-port', 'peer-port'],
    message: 'Two of the ports are the same.',
    remedy: 'Give three different ports, or 0 for any free port.',
    isViolated: ({callerPort, adminPort, peerPort}) =>
      hasDuplicates([callerPort, adminPort, peerPort].filter(Boolean)),
  },
  {
    settings: ['advertise-host'],
    message: 'Nobody can connect to the unspecified address.',
    remedy: 'Set --advertise-host to the address of this host.',
    isViolated: ({advertiseHost: host}) => host === '0.0.0.0' || host === '::',
  },
  {
    settings: ['advertise-host', 'listen-host'],
    message: 'Nobody can reach the advertised address: only loopback listens.',
    remedy: 'Set --listen-host to the advertised address, or to 0.0.0.0.',
    isViolated: ({advertiseHost, listenHost}) =>
      advertiseHost !== undefined &&
      isLoopback(listenHost) &&
      !isLoopback(advertiseHost),
  },
  {
    settings: ['default-deadline-ms', 'max-deadline-ms'],
    message: 'The default deadline is longer than the longest allowed.',
    remedy: 'Raise --max-deadline-ms, or lower --default-deadline-ms.',
    isViolated: ({defaultDeadlineMs, maxDeadlineMs}) =>
      isGreater(defaultDeadlineMs, maxDeadlineMs),
  },
  {
    settings: ['shutdown-grace-ms', 'max-deadline-ms'],
    message: 'A shutdown would cut off requests that still have time.',
    remedy: 'Raise --shutdown-grace-ms to --max-deadline-ms at least.',
    isViolated: ({shutdownGraceMs, maxDeadlineMs}) =>
      isGreater(maxDeadlineMs, shutdownGraceMs),
  },
  {
    settings: ['shutdown-grace-ms', 'entries-ttl-ms'],
    message: 'A shutdown would end while callers still cache the address.',
    remedy: 'Raise --shutdown-grace-ms to --entries-ttl-ms at least.',
    isViolated: ({shutdownGraceMs, entriesTtlMs}) =>
      isGreater(entriesTtlMs, shutdownGraceMs),
  },
  {
    settings: ['shutdown-grace-ms', 'max-deadline-ms', 'entries-ttl-ms'],
    message: 'A shutdown would cut off the requests that arrive last.',
    remedy:
      'Raise --shutdown-grace-ms to the sum of --max-deadline-ms and --entries-ttl-ms.',
    isViolated: ({shutdownGraceMs: grace, maxDeadlineMs, entriesTtlMs}) =>
      grace !== undefined &&
      maxDeadlineMs !== undefined &&
      entriesTtlMs !== undefined &&
      Math.max(maxDeadlineMs, entriesTtlMs) <= grace &&
      maxDeadlineMs + entriesTtlMs > grace,
  },
  {
    settings: ['cold-start-weight', 'idle-weight'],
    message: 'With both weights at 0 all decisions count the same.',
    remedy: 'Set --cold-start-weight or --idle-weight above 0.',
    isViolated: ({coldStartWeight, idleWeight}) =>
      coldStartWeight === 0 && idleWeight === 0,
  },
];

/** Returns a fault for each rule that the settings violate. */
export function findContradictions(settings: PartialSettings): SettingFault[] {
  return CONTRADICTIONS.filter(rule => rule.isViolated(settings)).map(
    ({settings: names, message, remedy}) => ({
      problem: 'contradictory',
      settings: names.map(toFlag),
      message: `${names.map(toFlag).join(', ')}: ${message}`,
      remedy,
    }),
  );
}

function hasDuplicates(values: ReadonlyArray<number | undefined>): boolean {
  return new Set(values).size < values.length;
}

function isGreater(a: number | undefined, b: number | undefined): boolean {
  return a !== undefined && b !== undefined && a > b;
}

function isLoopback(host: string | undefined): boolean {
  if (host === undefined) return false;
  return host === '::1' || (isIPv4(host) && host.startsWith('127.'));
}
