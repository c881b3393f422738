/** Keeps a request from servers after it, or a part of its prompt, has crashed others. */
import {TypedError} from '@mimosatack/errors';
import {
  type BackendServerEntry,
  type PathFingerprint,
  type RequestFingerprint,
  type RequestSuspects,
  type Suspect,
  isPartSuspect,
} from '@mimosatack/types';
import {type AttemptOutcome} from './attempt.js';
import {type CallerRequest} from './caller_request.js';
import {makeFingerprint, makePathPrint} from './fingerprint.js';
import {listPartSuspects} from './request_suspects.js';
import {findRunKnowledge} from './run_record.js';

/** Tracks, over all nodes, which requests and prompt parts may have crashed servers. */
export interface CrashWatch {
  /** Whether anything is suspected. */
  readonly hasSuspects: boolean;
  /** Whether any suspected request has this path. */
  isPathSuspected(pathPrint: PathFingerprint): boolean;
  /** Whether a connection was lost under the suspect since it was last served. */
  isSuspected(suspect: Suspect): boolean;
  isContained(suspect: Suspect): boolean;
  /** Whether a request with contained suspects may probe one server; see `endProbe`. */
  openProbe(suspects: readonly Suspect[]): boolean;
  endProbe(suspects: readonly Suspect[]): void;
  /** Records a connection that was lost while the server had the request. */
  recordConnectionLoss(suspects: RequestSuspects, serverLife: string): void;
  /** Records a complete success response. */
  recordSuccess(suspects: readonly Suspect[]): void;
  /** Records the parts of a request that was served, suspected or not. */
  recordServedParts(parts: readonly Suspect[]): void;
}

/**
 * Checks one request against the crash watch. Until a connection is lost, the
 * body is hashed only while a request with the same path is suspected.
 */
export class CrashGuard {
  private cachedFingerprint: RequestFingerprint | null = null;
  private cachedParts: readonly Suspect[] | null = null;
  private pathPrint: PathFingerprint | null = null;
  private probedSuspects: readonly Suspect[] = [];

  constructor(
    private readonly watch: CrashWatch,
    private readonly request: CallerRequest,
  ) {}

  /** Whether a request with this path is suspected. */
  private get isWatched(): boolean {
    if (!this.watch.hasSuspects) return false;
    this.pathPrint ??= makePathPrint(this.request);
    return this.watch.isPathSuspected(this.pathPrint);
  }

  get fingerprint(): RequestFingerprint {
    this.cachedFingerprint ??= makeFingerprint(this.request);
    return this.cachedFingerprint;
  }

  private get parts(): readonly Suspect[] {
    this.cachedParts ??= listPartSuspects(this.request);
    return this.cachedParts;
  }

  /** Whether servers may have crashed under this request. */
  get isSuspected(): boolean {
    return this.isWatched && this.watch.isSuspected(this.fingerprint);
  }

  /** Whether the request is sent to a server to find out if it crashes that one too. */
  get isProbing(): boolean {
    return this.probedSuspects.length > 0;
  }

  /** What the request must not be sent to a server for now. */
  get containedSuspects(): Suspect[] {
    if (this.isProbing || !this.watch.hasSuspects) return [];
    const suspects = this.isWatched
      ? [this.fingerprint, ...this.parts]
      : this.parts;
    return suspects.filter(suspect => this.watch.isContained(suspect));
  }

  get isContained(): boolean {
    return this.containedSuspects.length > 0;
  }

  /** Lets a contained request probe one server if a probe is due. */
  openProbe(): void {
    const suspects = this.containedSuspects;
    if (suspects.length === 0 || !this.watch.openProbe(suspects)) return;
    this.probedSuspects = suspects;
  }

  /** Must be called once the request has ended. */
  endProbe(): void {
    if (this.isProbing) this.watch.endProbe(this.probedSuspects);
    this.probedSuspects = [];
  }

  recordOutcome(outcome: AttemptOutcome, server: BackendServerEntry): void {
    if (this.isCrash(outcome)) {
      const {fingerprint, parts} = this;
      this.watch.recordConnectionLoss(
        {fingerprint, parts},
        formatIncarnation(server),
      );
    }
    if (outcome.status === 'answered' && outcome.isSuccess) {
      this.markServed(outcome.isDelimited);
    }
    // A probe ends at the first server that may have run the request.
    if (!isKnownNotRun(outcome)) this.endProbe();
  }

  /** A probe without a known result counts, so that the next one is delayed. */
  private isCrash(outcome: AttemptOutcome): boolean {
    if (outcome.status === 'broken' && outcome.isConnectionLost) return true;
    const isUndisturbed =
      isKnownNotRun(outcome) ||
      (outcome.status === 'answered' && outcome.isSuccess);
    return this.isProbing && !isUndisturbed;
  }

  /**
   * Errors do not count: a server may send one before the request runs. Nor does an answer
   * that its connection ended, unless it was a probe: the server may have crashed after it.
   */
  private markServed(isDelimited: boolean): void {
    const {watch, parts} = this;
    watch.recordServedParts(parts);
    if (!isDelimited && !this.isProbing) return;
    const fingerprints = this.isWatched ? [this.fingerprint] : [];
    const suspects = [...fingerprints, ...parts];
    if (watch.hasSuspects && suspects.length > 0) watch.recordSuccess(suspects);
  }
}

export function makeContainedError(
  suspects: readonly Suspect[],
  mayHaveRun: boolean,
): TypedError {
  return new TypedError(
    'contained',
    suspects.every(isPartSuspect)
      ? 'Backend servers crashed while running requests with the same part of a prompt.'
      : 'Three backend servers crashed while running this request.',
    {
      run: mayHaveRun ? 'unknown' : 'not-run',
      info: {suspects},
    },
  );
}

function isKnownNotRun(outcome: AttemptOutcome): boolean {
  return ['not-sent', 'not-run'].includes(findRunKnowledge(outcome));
}

/** Tells a restarted server from its earlier incarnation under the same id. */
function formatIncarnation({id, startedAtMs}: BackendServerEntry): string {
  return startedAtMs === null ? id : `${id}@${startedAtMs}`;
}
