/** Which models are loaded for whom, and which make room for them. */
import {type ModelName, type ServiceName} from '@mimosatack/types';
import {type AskedModel} from './demand.js';
import {type EngineView} from './engine_view.js';
import {type Residency} from './resident_model.js';
import {type ScheduledRequest} from './scheduled_request.js';

/** The requests that wait for one model. */
export interface Batch {
  service: ServiceName;
  model: ModelName;
  /** In the order in which they came. */
  requests: readonly ScheduledRequest[];
}

/** What a policy may look at. */
export interface SwapContext {
  nowMs: number;
  engines: readonly EngineView[];
  /** Engines that could load a model without the weight store. */
  listNear: (service: ServiceName, model: ModelName) => readonly EngineView[];
  /** Engines that take work and hold a model, or are loading it. */
  copiesOf: (model: ModelName) => number;
  /** Requests for a model, a second. */
  rateOf: (service: ServiceName, model: ModelName) => number;
  /** Requests for a model that were refused since it was last served. */
  missesOf: (service: ServiceName, model: ModelName) => number;
  /** The models that were asked for lately. */
  listAsked: () => readonly AskedModel[];
  /** How long an engine of the service reads for one prompt token. */
  msPerPromptToken: (service: ServiceName) => number;
  /** Engines that have to hold a model, for all its prompts to be read. */
  wantedCopiesOf: (service: ServiceName, model: ModelName) => number;
  /** Whether the weight store bears one more load now. */
  mayLoadFromStore: (service: ServiceName) => boolean;
}

/** A load on one engine, with the model that makes room; null if none must. */
export interface SwapChoice {
  engine: EngineView;
  victim: Residency | null;
}

/** Decides about swaps; all else of scheduling is common to all policies. */
export interface SwapPolicy {
  readonly name: string;
  /** The batches to load for, the first first. */
  rank(batches: readonly Batch[], context: SwapContext): Batch[];
  /** Where to load for a batch now; null when that pays nowhere. */
  choose(batch: Batch, context: SwapContext): SwapChoice | null;
}
