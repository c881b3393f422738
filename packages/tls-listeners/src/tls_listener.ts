/** HTTPS servers that reload their certificate without a restart. */
import {type RequestListener} from 'node:http';
import {type Server, createServer} from 'node:https';
import {type Clock} from '@mimosatack/clock';
import {toTypedError} from '@mimosatack/errors';
import {type EventLogger} from '@mimosatack/logger';
import {type PeriodicTimer, startPeriodic} from '@mimosatack/tasks';
import {
  type KeyPair,
  type KeyPairPaths,
  readFingerprint,
  readKeyPair,
} from './key_pair.js';

export interface TlsListenerOptions {
  clock: Clock;
  logger: EventLogger;
  /** Clients of the listener, for log events. */
  listener: 'callers' | 'operators';
  paths: KeyPairPaths;
  /** Interval between checks of the files. */
  pollIntervalMs: number;
}

const MIN_VERSION = 'TLSv1.2';
/** Fingerprint of missing files, so that they are logged only once. */
const UNREADABLE = 'unreadable';

/** Creates HTTPS servers and passes each new certificate to them. */
export class TlsListener {
  private readonly servers: Server[] = [];
  private fingerprint = '';
  private poller: PeriodicTimer | null = null;

  constructor(private readonly options: TlsListenerOptions) {}

  /** Creates a server; it has no certificate until `start` resolves. */
  createServer(handler: RequestListener): Server {
    const server = createServer({minVersion: MIN_VERSION}, handler);
    this.servers.push(server);
    return server;
  }

  /** Loads the pair and starts polling; rejects if the pair is invalid. */
  async start(): Promise<void> {
    const {clock, paths, pollIntervalMs} = this.options;
    this.applyKeyPair(await readKeyPair(paths));
    this.fingerprint = await readFingerprint(paths);
    this.poller = startPeriodic(clock, pollIntervalMs, () => this.reload());
  }

  stop(): void {
    this.poller?.stop();
  }

  /**
   * Loads the pair if a file has changed. An invalid or partly written pair
   * would break every new connection, so the old pair stays in use until the
   * files change again.
   */
  async reload(): Promise<void> {
    const {paths, listener, logger} = this.options;
    try {
      const fingerprint = await readFingerprint(paths).catch(() => UNREADABLE);
      if (fingerprint === this.fingerprint) return;
      this.fingerprint = fingerprint;
      const pair = await readKeyPair(paths);
      this.applyKeyPair(pair);
      const {certPath} = paths;
      const {validTo} = pair;
      logger.log('certificate-replaced', {listener, certPath, validTo});
    } catch (thrown) {
      this.reportRejected(thrown);
    }
  }

  private applyKeyPair({cert, key}: KeyPair): void {
    this.servers.forEach(server =>
      server.setSecureContext({cert, key, minVersion: MIN_VERSION}),
    );
  }

  private reportRejected(thrown: unknown): void {
    const {paths, listener, logger} = this.options;
    const {certPath} = paths;
    const error = toTypedError(thrown);
    logger.log('certificate-rejected', {listener, certPath, error});
  }
}
