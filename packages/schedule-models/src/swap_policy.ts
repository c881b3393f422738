/** Interface of the policies that select which models to load and to evict. */
import {
  type BackendServerId,
  type ModelName,
  type ServiceName,
} from '@mimosatack/types';
import {type ModelDemand} from './demand.js';
import {type EngineView} from './engine_view.js';
import {type FindTeamUse} from './load_shares.js';
import {type ResidentModel} from './resident_model.js';
import {type ScheduledRequest} from './scheduled_request.js';

/** The requests that wait for one model, all at the same software version or at any. */
export interface Batch {
  service: ServiceName;
  model: ModelName;
  /** The software version that the requests need; null for any. */
  softwareVersion: string | null;
  /** In order of arrival. */
  requests: readonly ScheduledRequest[];
}

/** The state on which a policy decides. */
export interface SwapContext {
  nowMs: number;
  engines: readonly EngineView[];
  /** Whether the engine wants no requests of at least one node. */
  isPaused: (id: BackendServerId) => boolean;
  /** Engines that can load the model without the weight store. */
  listCaching: (
    service: ServiceName,
    model: ModelName,
  ) => readonly EngineView[];
  /**
   * The number of engines that accept work and hold a model or are loading it.
   */
  copiesOf: (model: ModelName) => number;
  /** Requests per second for a model. */
  rateOf: (service: ServiceName, model: ModelName) => number;
  /**
   * Requests for a model that were refused since it was last served. Where teams have shares, a
   * team's repeats count up to a limit.
   */
  refusalsOf: (service: ServiceName, model: ModelName) => number;
  /** The models with recent demand. */
  listDemand: () => readonly ModelDemand[];
  /**
   * Prefill time per prompt token on an engine of the service, in milliseconds.
   */
  msPerPromptToken: (service: ServiceName) => number;
  /** The number of engines required to read all prompts for a model. */
  targetCopiesOf: (service: ServiceName, model: ModelName) => number;
  /** Whether the weight store can serve one more load now. */
  canLoadFromStore: (service: ServiceName) => boolean;
  /** What a team has used of its share; null while teams have no shares. */
  findTeamUse: FindTeamUse | null;
}

/** A load on one engine and the model to evict for it; null if none. */
export interface SwapChoice {
  engine: EngineView;
  victim: ResidentModel | null;
}

/** Selects swaps. All other scheduling is the same for all policies. */
export interface SwapPolicy {
  readonly name: string;
  /** The batches to load models for, in descending order of preference. */
  rank(batches: readonly Batch[], context: SwapContext): Batch[];
  /** The swap for a batch; null if none is possible or worthwhile. */
  choose(batch: Batch, context: SwapContext): SwapChoice | null;
}
