/** Checks who may send a request, and for which team. */
import {type TypedError} from '@mimosatack/errors';
import {type ServiceRoute, type TeamSpec} from '@mimosatack/types';
import {type CallerRequest} from './caller_request.js';

/** The part of a request that the check depends on. */
export type AccessRequest = Pick<CallerRequest, 'requestId' | 'keyHashes'>;

/** The team of the request; null where the route requires none. */
export interface GrantedAccess {
  team: TeamSpec | null;
}

/** How recent the configuration is. */
export interface ConfigurationEvidence {
  readonly version: number;
  /** Time since it was known to be the newest; Infinity before that. */
  readonly ageMs: number;
  /**
   * Whether any newer one is too new to be in force everywhere yet, so that what it does not
   * allow may be refused for good.
   */
  readonly isRecent: boolean;
  /** The node that confirmed it; null for a read of the store by this node. */
  readonly confirmedBy: string | null;
}

/** Checks requests against the configured keys. */
export interface AccessCheck {
  /** Whether the configuration is confirmed as recent enough. */
  readonly isConfirmed: boolean;
  /** Must be called right before each send, since keys can be revoked. */
  check(
    request: AccessRequest,
    route: ServiceRoute,
  ): GrantedAccess | TypedError;
}
