/** Whose requests this node serves, by the keys that are in force. */
import {TeamKeys, authenticateKey} from '@mimosatack/authenticate';
import {TypedError} from '@mimosatack/errors';
import {type EventLogger} from '@mimosatack/logger';
import {
  type AccessCheck,
  type AccessRequest,
  type GrantedAccess,
} from '@mimosatack/serve-requests';
import {type ServiceRoute, type TeamSpec} from '@mimosatack/types';

/** What keys are checked with. */
export interface CallerAccessOptions {
  logger: EventLogger;
  /** How long ago the configuration was known to be the newest. */
  configurationAgeMs: () => number;
  /** A key that was taken away serves nobody after this time; null: no bound. */
  revokeMs: () => number | null;
}

/** The rest is for what clocks and looks differ by. */
const USED_PART = 0.7;
const UNCONFIRMED_RETRY_MS = 1_000;

/** Checks each request before anything is spent on it, and before each send. */
export class CallerAccess implements AccessCheck {
  private keys: TeamKeys | null = null;
  private version = -1;

  constructor(private readonly options: CallerAccessOptions) {}

  /** @param teams null where requests carry no keys. */
  configure(version: number, teams: readonly TeamSpec[] | null): void {
    this.version = version;
    this.keys = teams && new TeamKeys(teams);
  }

  /**
   * Whether keys can be checked now.
   *
   * Guards against a key that serves on after it was taken away, at a node that
   * has not heard of it: one that was cut off, frozen or suspended, or while the
   * store is silent. Requests with keys are refused once the node's knowledge is
   * nearly as old as a key may live on.
   */
  get isConfirmed(): boolean {
    const revokeMs = this.options.revokeMs();
    if (!this.keys || revokeMs === null) return true;
    return this.options.configurationAgeMs() < USED_PART * revokeMs;
  }

  check(
    request: AccessRequest,
    {isPublic}: ServiceRoute,
  ): GrantedAccess | TypedError {
    const {keys} = this;
    if (!keys) return {team: null};
    const found = this.isConfirmed
      ? authenticateKey(request.keyHashes, keys)
      : makeUnconfirmed();
    if (!(found instanceof TypedError)) return {team: found};
    if (isPublic) return {team: null};
    this.logRefused(request, found);
    return found;
  }

  private logRefused({requestId}: AccessRequest, error: TypedError): void {
    const ageMs = this.options.configurationAgeMs();
    this.options.logger.log('key-refused', {
      requestId,
      kind: error.kind,
      reason: error.summary,
      configurationVersion: this.version,
      configurationAgeMs: Number.isFinite(ageMs) ? Math.round(ageMs) : null,
    });
  }
}

function makeUnconfirmed(): TypedError {
  return new TypedError(
    'platform-unavailable',
    'The keys in force could not be confirmed lately.',
    {run: 'not-run', retryAfterMs: UNCONFIRMED_RETRY_MS},
  );
}
