/** What routing is asked and what it answers. */
import {type BackendServerId, type FailureDomain} from '@mimosatack/types';

/** What a request needs of a backend server. */
export interface RouteRequest {
  candidates: readonly BackendServerId[];
  /** Backend servers that were tried already. */
  excluded: ReadonlySet<BackendServerId>;
  /** Failure domains to leave out while there is another choice. */
  avoidedDomains?: ReadonlySet<FailureDomain>;
  /** The model and the hashes of the prompt's first blocks. */
  prefix?: {model: string; hashes: readonly string[]};
  /** Whether a server that is full is no choice. */
  needsRoom?: boolean;
}

/** `full`: some would serve it later; `none`: none is there. */
export type RouteDecision =
  {status: 'chosen'; id: BackendServerId} | {status: 'full'} | {status: 'none'};

/** How a request went, as far as it tells something about the server. */
export type Outcome =
  | {status: 'answered'; group: string; firstByteMs: number}
  | {status: 'failed'}
  | {status: 'neutral'};
