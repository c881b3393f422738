/** An HTTPS server whose certificate is replaced without a restart. */
import {type RequestListener} from 'node:http';
import {type Server, createServer} from 'node:https';
import {type Clock} from '@mimosatack/clock';
import {toTypedError} from '@mimosatack/errors';
import {type EventLogger} from '@mimosatack/logger';
import {type Periodic, startPeriodic} from '@mimosatack/tasks';
import {
  type KeyPair,
  type KeyPairPaths,
  readFingerprint,
  readKeyPair,
} from './key_pair.js';

/** What a listener is built from. */
export interface TlsListenerOptions {
  clock: Clock;
  logger: EventLogger;
  /** Who connects to it, for the log. */
  listener: 'callers' | 'operators';
  paths: KeyPairPaths;
  /** Time between two looks at the files. */
  pollIntervalMs: number;
}

const MIN_VERSION = 'TLSv1.2';
/** Stands for files that are gone, so that it is told only once. */
const UNREADABLE = 'unreadable';

/** Makes HTTPS servers and gives them each new certificate. */
export class TlsListener {
  private readonly servers: Server[] = [];
  private fingerprint = '';
  private polling: Periodic | null = null;

  constructor(private readonly options: TlsListenerOptions) {}

  /** Makes a server, which has no certificate before `start`. */
  createServer(handler: RequestListener): Server {
    const server = createServer({minVersion: MIN_VERSION}, handler);
    this.servers.push(server);
    return server;
  }

  /** Reads the first pair, or rejects, and begins to watch the files. */
  async start(): Promise<void> {
    const {clock, paths, pollIntervalMs} = this.options;
    this.use(await readKeyPair(paths));
    this.fingerprint = await readFingerprint(paths);
    this.polling = startPeriodic(clock, pollIntervalMs, () => this.reload());
  }

  stop(): void {
    this.polling?.stop();
  }

  /**
   * Takes the pair over if a file has changed. Guards against a pair that is
   * half written or broken: its key would not fit, and every new connection
   * would fail. The old pair is kept, and the files are looked at again when
   * they next change.
   */
  async reload(): Promise<void> {
    const {paths, listener, logger} = this.options;
    try {
      const fingerprint = await readFingerprint(paths).catch(() => UNREADABLE);
      if (fingerprint === this.fingerprint) return;
      this.fingerprint = fingerprint;
      const pair = await readKeyPair(paths);
      this.use(pair);
      const {certPath} = paths;
      const {validTo} = pair;
      logger.log('certificate-replaced', {listener, certPath, validTo});
    } catch (thrown) {
      this.reportRejected(thrown);
    }
  }

  private use({cert, key}: KeyPair): void {
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
