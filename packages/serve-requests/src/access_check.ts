/** Who may send a request, and in the name of which team. */
import {type TypedError} from '@mimosatack/errors';
import {type ServiceRoute, type TeamSpec} from '@mimosatack/types';
import {type CallerRequest} from './caller_request.js';

/** What is looked at. */
export type AccessRequest = Pick<CallerRequest, 'requestId' | 'keyHashes'>;

/** The team that sends it; null where the route needs none. */
export interface GrantedAccess {
  team: TeamSpec | null;
}

/** Knows the keys that are in force. */
export interface AccessCheck {
  /** Whether the configuration is known to be the newest, as far as need be. */
  readonly isConfirmed: boolean;
  /** To be asked right before each send: keys are taken away at any time. */
  check(
    request: AccessRequest,
    route: ServiceRoute,
  ): GrantedAccess | TypedError;
}
