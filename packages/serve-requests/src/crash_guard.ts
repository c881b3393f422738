/** Keeps one request from servers once others have ended under it. */
import {TypedError} from '@mimosatack/errors';
import {
  type BackendServerEntry,
  type RequestFingerprint,
} from '@mimosatack/types';
import {type AttemptOutcome} from './attempt.js';
import {type CallerRequest} from './caller_request.js';
import {makeFingerprint} from './fingerprint.js';

/** Knows, over all nodes, under which requests servers have ended. */
export interface CrashWatch {
  /** Whether any request is suspected. */
  readonly isWatching: boolean;
  isContained(fingerprint: RequestFingerprint): boolean;
  /** A server's connection was cut while it had the request. */
  noteCut(fingerprint: RequestFingerprint, serverLife: string): void;
  /** A server has answered the request whole, with a success. */
  noteServed(fingerprint: RequestFingerprint): void;
}

/** One request before the watch; nothing is hashed while nobody is suspected. */
export class CrashGuard {
  private known: RequestFingerprint | null = null;

  constructor(
    private readonly watch: CrashWatch,
    private readonly request: CallerRequest,
  ) {}

  get fingerprint(): RequestFingerprint {
    this.known ??= makeFingerprint(this.request);
    return this.known;
  }

  get isContained(): boolean {
    return this.watch.isWatching && this.watch.isContained(this.fingerprint);
  }

  note(outcome: AttemptOutcome, server: BackendServerEntry): void {
    if (outcome.status === 'broken' && outcome.isCut) {
      this.watch.noteCut(this.fingerprint, nameLife(server));
    }
    if (outcome.status === 'answered' && outcome.isSuccess) this.noteSuccess();
  }

  /** A failure may come before the request has begun to run. */
  private noteSuccess(): void {
    if (this.watch.isWatching) this.watch.noteServed(this.fingerprint);
  }
}

/** The refusal of a request that is contained. */
export function makeContained(mayHaveRun: boolean): TypedError {
  return new TypedError('contained', 'Servers have crashed under it.', {
    run: mayHaveRun ? 'unknown' : 'not-run',
  });
}

/** A server that starts again may do so under its id. */
function nameLife({id, startedAtMs}: BackendServerEntry): string {
  return startedAtMs === null ? id : `${id}@${startedAtMs}`;
}
