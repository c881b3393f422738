/** Authenticates callers by the current configuration's keys. */
import {TeamKeys, authenticateKey} from '@mimosatack/authenticate';
import {TypedError} from '@mimosatack/errors';
import {type EventLogger} from '@mimosatack/logger';
import {
  type AccessCheck,
  type AccessRequest,
  type GrantedAccess,
} from '@mimosatack/serve-requests';
import {type ServiceRoute, type TeamSpec} from '@mimosatack/types';

export interface CallerAccessOptions {
  logger: EventLogger;
  /** Time since the configuration was last known to be the newest. */
  configurationAgeMs: () => number;
  /** Longest time that a revoked key stays valid; null for no limit. */
  revokeMs: () => number | null;
  /** Time within which a configuration has to be in force at all nodes. */
  applyMs: () => number;
}

/** Leaves room for clock drift and for the interval between checks. */
const MAX_AGE_FRACTION = 0.7;
const UNCONFIRMED_RETRY_MS = 1_000;

/** Checks each request on arrival, and again before each send. */
export class CallerAccess implements AccessCheck {
  private keys: TeamKeys | null = null;
  private version = -1;

  constructor(private readonly options: CallerAccessOptions) {}

  /** @param teams null when requests carry no keys. */
  configure(version: number, teams: readonly TeamSpec[] | null): void {
    this.version = version;
    this.keys = teams && new TeamKeys(teams);
  }

  /**
   * Whether the configuration is recent enough to check keys against.
   *
   * Guards against accepting a revoked key on a node that is partitioned or was
   * frozen or suspended, or while the store is unavailable: requests with keys are
   * refused once the configuration is nearly as old as a revoked key may be accepted.
   */
  get isConfirmed(): boolean {
    const revokeMs = this.options.revokeMs();
    if (!this.keys || revokeMs === null) return true;
    return this.options.configurationAgeMs() < MAX_AGE_FRACTION * revokeMs;
  }

  check(
    request: AccessRequest,
    {isPublic}: ServiceRoute,
  ): GrantedAccess | TypedError {
    const {keys} = this;
    if (!keys) return {team: null};
    const found = this.isConfirmed
      ? this.findTeam(request, keys)
      : makeUnconfirmedError();
    if (!(found instanceof TypedError)) return {team: found};
    if (isPublic) return {team: null};
    this.logRefusal(request, found);
    return found;
  }

  /** Guards against a final refusal of a key that a newer configuration holds. */
  private findTeam(
    {keyHashes}: AccessRequest,
    keys: TeamKeys,
  ): TeamSpec | TypedError {
    const {configurationAgeMs, applyMs} = this.options;
    const found = authenticateKey(keyHashes, keys);
    const mayBeOutdated = configurationAgeMs() > applyMs();
    return found instanceof TypedError && mayBeOutdated
      ? makeUnconfirmedError()
      : found;
  }

  private logRefusal({requestId}: AccessRequest, error: TypedError): void {
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

function makeUnconfirmedError(): TypedError {
  return new TypedError(
    'platform-unavailable',
    'The keys in force could not be confirmed lately.',
    {run: 'not-run', retryAfterMs: UNCONFIRMED_RETRY_MS},
  );
}
