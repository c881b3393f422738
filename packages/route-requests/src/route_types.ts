/** Input and result of routing. */
import {type BackendServerId, type FailureDomain} from '@mimosatack/types';

/** Requirements of a request on its backend server. */
export interface RouteRequest {
  candidates: readonly BackendServerId[];
  /** Backend servers that have already been tried. */
  excluded: ReadonlySet<BackendServerId>;
  /** Failure domains to avoid if servers in others are available. */
  avoidedDomains?: ReadonlySet<FailureDomain>;
  /** The model and the hashes of the prompt's first blocks. */
  prefix?: {model: string; hashes: readonly string[]};
  /** Whether to skip servers without free capacity. */
  requiresCapacity?: boolean;
}

/** `full`: usable servers have no capacity; `none`: no server is usable. */
export type RouteDecision =
  {status: 'chosen'; id: BackendServerId} | {status: 'full'} | {status: 'none'};

/** Result of a request, as a signal about the server; `neutral` carries none. */
export type RequestOutcome =
  | {status: 'answered'; group: string; firstByteMs: number}
  | {status: 'failed'}
  | {status: 'neutral'};
