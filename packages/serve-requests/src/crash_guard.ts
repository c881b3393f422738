/** Keeps one request from servers once others have ended under it. */
import {TypedError} from '@mimosatack/errors';
import {
  type BackendServerEntry,
  type PathPrint,
  type RequestFingerprint,
} from '@mimosatack/types';
import {type AttemptOutcome} from './attempt.js';
import {type CallerRequest} from './caller_request.js';
import {makeFingerprint, makePathPrint} from './fingerprint.js';

/** Knows, over all nodes, under which requests servers have ended. */
export interface CrashWatch {
  /** Whether any request is suspected. */
  readonly isWatching: boolean;
  /** Whether any request with this path is. */
  isPathWatched(pathPrint: PathPrint): boolean;
  isContained(fingerprint: RequestFingerprint): boolean;
  /** Whether a contained request may go to one server; see `endTry`. */
  claimTry(fingerprint: RequestFingerprint): boolean;
  endTry(fingerprint: RequestFingerprint): void;
  /** A server's connection was cut while it had the request. */
  noteCut(fingerprint: RequestFingerprint, serverLife: string): void;
  /** A server has answered the request whole, with a success. */
  noteServed(fingerprint: RequestFingerprint): void;
}

/**
 * One request before the watch. Nothing is hashed while nobody is suspected, and
 * no body while nobody with its path is.
 */
export class CrashGuard {
  private known: RequestFingerprint | null = null;
  private pathPrint: PathPrint | null = null;
  private isTry = false;

  constructor(
    private readonly watch: CrashWatch,
    private readonly request: CallerRequest,
  ) {}

  private get isWatched(): boolean {
    if (!this.watch.isWatching) return false;
    this.pathPrint ??= makePathPrint(this.request);
    return this.watch.isPathWatched(this.pathPrint);
  }

  get fingerprint(): RequestFingerprint {
    this.known ??= makeFingerprint(this.request);
    return this.known;
  }

  /** Whether it must not be sent to a server now. */
  get isContained(): boolean {
    if (this.isTry) return false;
    return this.isWatched && this.watch.isContained(this.fingerprint);
  }

  /** Has the request tried at one server, if it is contained and that is due. */
  claimTry(): void {
    if (this.isContained) this.isTry = this.watch.claimTry(this.fingerprint);
  }

  /** To be called once the request has ended. */
  end(): void {
    if (this.isTry) this.watch.endTry(this.fingerprint);
    this.isTry = false;
  }

  note(outcome: AttemptOutcome, server: BackendServerEntry): void {
    if (outcome.status === 'broken' && outcome.isCut) {
      this.watch.noteCut(this.fingerprint, nameLife(server));
    }
    if (outcome.status === 'answered' && outcome.isSuccess) this.noteSuccess();
    // A try is over with the first server that may have run it.
    if (outcome.status !== 'not-run') this.end();
  }

  /** A failure may come before the request has begun to run. */
  private noteSuccess(): void {
    if (this.isWatched) this.watch.noteServed(this.fingerprint);
  }
}

/** The refusal of a request that is contained. */
export function makeContained(mayHaveRun: boolean): TypedError {
  return new TypedError(
    'contained',
    'Three backend servers crashed while running this request.',
    {
      run: mayHaveRun ? 'unknown' : 'not-run',
    },
  );
}

/** A server that starts again may do so under its id. */
function nameLife({id, startedAtMs}: BackendServerEntry): string {
  return startedAtMs === null ? id : `${id}@${startedAtMs}`;
}
