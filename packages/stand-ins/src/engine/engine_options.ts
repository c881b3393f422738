/** Settings and faults of the model engine stand-in. */
import {type FencingSupport} from '@mimosatack/types';
import {type BackendOptions} from '../shared/backend_server.js';
import {type WorkFaults} from '../shared/http_server.js';

/** Settings of one engine; each is also a command-line flag. */
export interface EngineOptions extends BackendOptions {
  fencing: FencingSupport;
  accelerators: number;
  memoryMib: number;
  /** Whether orders that do not fit into memory are refused. */
  checksMemory: boolean;
  maxRunning: number;
  firstTokenMs: number;
  tokenMs: number;
  /** Size of every checkpoint; 1 is the weight store's standard load. */
  sizeFactor: number;
  /** Load times from the disk and memory tiers, and initialization time. */
  diskLoadMs: number;
  memoryLoadMs: number;
  initMs: number;
  /** How long a replica occupies its memory after an unload order. */
  unloadMs: number;
  /** The maximum number of checkpoints in each tier. */
  memoryCheckpoints: number;
  diskCheckpoints: number;
  /** How long a stream can be resumed after its end. */
  streamKeepMs: number;
  loadReportLagMs: number;
  cacheEventLagMs: number;
  /** Fraction of cache events that are never reported. */
  cacheEventGapFraction: number;
  /** Capacity of the prompt cache in prefix blocks. */
  prefixBlocks: number;
  seed: number;
}

export const DEFAULT_ENGINE_OPTIONS: EngineOptions = {
  port: 0,
  backendServerId: 'r1',
  hostId: '',
  pool: 'sage-llm',
  failureDomain: 'hall-a',
  region: 'sask-central',
  platform: '',
  fencing: 'refuses-old',
  accelerators: 8,
  memoryMib: 65_536,
  checksMemory: true,
  maxRunning: 16,
  firstTokenMs: 20,
  tokenMs: 5,
  sizeFactor: 1,
  diskLoadMs: 400,
  memoryLoadMs: 100,
  initMs: 100,
  unloadMs: 50,
  memoryCheckpoints: 4,
  diskCheckpoints: 16,
  streamKeepMs: 30_000,
  loadReportLagMs: 500,
  cacheEventLagMs: 300,
  cacheEventGapFraction: 0.1,
  prefixBlocks: 1_000,
  seed: 1,
};

/** Faults of one engine; "next N" faults are counters that run down to 0. */
export interface EngineFaults extends WorkFaults {
  /** Next N streams: destroyed after `resetAfterChunks` chunks. */
  resetMidStream: number;
  resetAfterChunks: number;
  /** Fraction of chunks sent after their successor. */
  reorderFraction: number;
  /** Fraction of chunks sent twice. */
  doubleFraction: number;
  /** Next N chunks or whole answers: replaced by another request's. */
  crossedAnswers: number;
  /** Next N whole answers: broken JSON. */
  malformedAnswers: number;
  /** Whether `GET /v1/state` answers with broken JSON. */
  malformedState: boolean;
  /** Next N orders: rejected with the error kind `refused`. */
  refuseOrders: number;
  /** Delay of every order, applied even if its sender disconnects. */
  delayOrdersMs: number;
  /** Next N orders: held until `/control/release-orders`. */
  holdOrders: number;
  /** Whether delayed orders are answered 202 before they are checked. */
  answerLateOrdersFirst: boolean;
  /** Next N orders: applied, but the connection is destroyed. */
  loseOrderAnswers: number;
  /** Factor by which token generation is slowed down. */
  slowTokenFactor: number;
}

export const NO_ENGINE_FAULTS: EngineFaults = {
  cutNodes: [],
  resetBeforeRead: 0,
  resetAfterRead: 0,
  resetAfterRun: 0,
  resetMidStream: 0,
  resetAfterChunks: 0,
  reorderFraction: 0,
  doubleFraction: 0,
  crossedAnswers: 0,
  malformedAnswers: 0,
  malformedState: false,
  refuseOrders: 0,
  delayOrdersMs: 0,
  holdOrders: 0,
  answerLateOrdersFirst: false,
  loseOrderAnswers: 0,
  slowTokenFactor: 1,
};
