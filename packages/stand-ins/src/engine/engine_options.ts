/** Settings and faults of the model engine stand-in. */
import {type FencingSupport} from '@mimosatack/types';
import {type BackendOptions} from '../shared/backend_server.js';
import {type WorkFaults} from '../shared/http_server.js';

/** Settings of one engine; the flags have the same names. */
export interface EngineOptions extends BackendOptions {
  fencing: FencingSupport;
  accelerators: number;
  memoryMib: number;
  /** Whether orders that do not fit into memory are refused. */
  checksMemory: boolean;
  maxRunning: number;
  firstTokenMs: number;
  tokenMs: number;
  /** Size of every checkpoint, in usual loads of the weight store. */
  sizeFactor: number;
  /** How long a checkpoint takes from each tier, and setting it up. */
  diskLoadMs: number;
  memoryLoadMs: number;
  initMs: number;
  /** How long an unloaded replica still holds its memory. */
  unloadMs: number;
  /** How many checkpoints each tier keeps. */
  memoryCheckpoints: number;
  diskCheckpoints: number;
  /** How long a stream can be resumed after its end. */
  streamKeepMs: number;
  loadReportLagMs: number;
  cacheEventLagMs: number;
  /** Fraction of cache events that are never shown. */
  cacheEventGapFraction: number;
  /** How many prefix blocks the prompt cache holds. */
  prefixBlocks: number;
  seed: number;
}

/** Settings used where none are given. */
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

/** Faults of one engine; "next N" faults count down. */
export interface EngineFaults extends WorkFaults {
  /** Next N streams: destroyed after `resetAfterChunks` chunks. */
  resetMidStream: number;
  resetAfterChunks: number;
  /** Fraction of chunks sent after their successor. */
  reorderFraction: number;
  /** Fraction of chunks sent twice. */
  doubleFraction: number;
  /** Next N chunks or whole answers: those of another request are sent. */
  crossedAnswers: number;
  /** Next N answers: not JSON. */
  malformedAnswers: number;
  /** Whether `GET /v1/state` answers with broken JSON. */
  malformedState: boolean;
  /** Next N orders: refused with `refused`. */
  refuseOrders: number;
  /** Orders arrive this much later, also when their sender has given up. */
  delayOrdersMs: number;
  /** Next N orders: on the way until `/control/release-orders`. */
  holdOrders: number;
  /** Whether late orders are answered 202 before they are looked at. */
  answerLateOrdersFirst: boolean;
  /** Next N orders: carried out, but the connection is destroyed. */
  loseOrderAnswers: number;
  /** How many times slower than usual tokens come. */
  slowTokenFactor: number;
}

/** An engine without a fault. */
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
