/** Keeps a request from servers after it has crashed others. */
import {TypedError} from '@mimosatack/errors';
import {
  type BackendServerEntry,
  type PathFingerprint,
  type RequestFingerprint,
} from '@mimosatack/types';
import {type AttemptOutcome} from './attempt.js';
import {type CallerRequest} from './caller_request.js';
import {makeFingerprint, makePathPrint} from './fingerprint.js';

/** Tracks, over all nodes, which requests may have crashed servers. */
export interface CrashWatch {
  /** Whether any request is suspected. */
  readonly hasSuspects: boolean;
  /** Whether any suspected request has this path. */
  isPathSuspected(pathPrint: PathFingerprint): boolean;
  /** Whether a connection was lost under the request since it was last served. */
  isSuspected(fingerprint: RequestFingerprint): boolean;
  isContained(fingerprint: RequestFingerprint): boolean;
  /** Whether a contained request may probe one server; see `endProbe`. */
  openProbe(fingerprint: RequestFingerprint): boolean;
  endProbe(fingerprint: RequestFingerprint): void;
  /** Records a connection that was lost while the server had the request. */
  recordConnectionLoss(
    fingerprint: RequestFingerprint,
    serverLife: string,
  ): void;
  /** Records a complete success response. */
  recordSuccess(fingerprint: RequestFingerprint): void;
}

/**
 * Checks one request against the crash watch. Until a connection is lost, the
 * body is hashed only while a request with the same path is suspected.
 */
export class CrashGuard {
  private cachedFingerprint: RequestFingerprint | null = null;
  private pathPrint: PathFingerprint | null = null;
  private isProbe = false;

  constructor(
    private readonly watch: CrashWatch,
    private readonly request: CallerRequest,
  ) {}

  private get isWatched(): boolean {
    if (!this.watch.hasSuspects) return false;
    this.pathPrint ??= makePathPrint(this.request);
    return this.watch.isPathSuspected(this.pathPrint);
  }

  get fingerprint(): RequestFingerprint {
    this.cachedFingerprint ??= makeFingerprint(this.request);
    return this.cachedFingerprint;
  }

  /** Whether servers may have crashed under this request. */
  get isSuspected(): boolean {
    return this.isWatched && this.watch.isSuspected(this.fingerprint);
  }

  /** Whether the request is sent to a server to find out if it crashes that one too. */
  get isProbing(): boolean {
    return this.isProbe;
  }

  /** Whether the request must not be sent to a server now. */
  get isContained(): boolean {
    if (this.isProbe) return false;
    return this.isWatched && this.watch.isContained(this.fingerprint);
  }

  /** Lets a contained request probe one server if a probe is due. */
  openProbe(): void {
    if (this.isContained) this.isProbe = this.watch.openProbe(this.fingerprint);
  }

  /** Must be called once the request has ended. */
  endProbe(): void {
    if (this.isProbe) this.watch.endProbe(this.fingerprint);
    this.isProbe = false;
  }

  recordOutcome(outcome: AttemptOutcome, server: BackendServerEntry): void {
    if (this.isCrash(outcome)) {
      this.watch.recordConnectionLoss(
        this.fingerprint,
        formatIncarnation(server),
      );
    }
    if (outcome.status === 'answered' && outcome.isSuccess) this.markServed();
    // A probe ends at the first server that may have run the request.
    if (outcome.status !== 'not-run') this.endProbe();
  }

  /** A probe without a known result counts, so that the next one is delayed. */
  private isCrash(outcome: AttemptOutcome): boolean {
    if (outcome.status === 'broken' && outcome.isConnectionLost) return true;
    const isUndisturbed =
      outcome.status === 'not-run' ||
      (outcome.status === 'answered' && outcome.isSuccess);
    return this.isProbe && !isUndisturbed;
  }

  /** Errors do not count: a server may send one before the request runs. */
  private markServed(): void {
    if (this.isWatched) this.watch.recordSuccess(this.fingerprint);
  }
}

export function makeContainedError(mayHaveRun: boolean): TypedError {
  return new TypedError(
    'contained',
    'Three backend servers crashed while running this request.',
    {
      run: mayHaveRun ? 'unknown' : 'not-run',
    },
  );
}

/** Tells a restarted server from its earlier incarnation under the same id. */
function formatIncarnation({id, startedAtMs}: BackendServerEntry): string {
  return startedAtMs === null ? id : `${id}@${startedAtMs}`;
}
