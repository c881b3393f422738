/**
 * How long loads take, learnt from what engines report. The knowledge is a
 * hint: wrong estimates make a load early or late, never unsafe.
 */
import {type WeightStoreLimits} from '@mimosatack/platform';
import {
  type CacheTier,
  type EngineState,
  type LoadedReplica,
  type ModelRef,
  formatModelRef,
} from '@mimosatack/types';
import {SampleWindow, findQuantile} from './sample_window.js';

/** How long a load is expected to take. */
export interface LoadTimes {
  /** The transfer from the weight store alone; 0 from a near cache. */
  storeMs: number;
  /** Everything else: reading a near cache, and setting up the model. */
  initMs: number;
  /** How far observed loads spread: the 99th percentile over the median. */
  spreadMs: number;
}

/** Expected load times of a base model or adapter by tier. */
export interface LoadTimeSource {
  expect(ref: Omit<ModelRef, 'version'>, tier: CacheTier): LoadTimes;
}

/** What an operator knows before the first load. */
export interface LoadTimeDefaults {
  limits: WeightStoreLimits;
  /** A load from a near cache by tier, and setting up after a transfer. */
  nearMs: Record<'memory' | 'disk', number>;
  initMs: number;
}

/** Used until the first loads are seen. */
export const DEFAULT_LOAD_TIMES: LoadTimeDefaults = {
  limits: {loadsPerSecond: 3, fullSpeedLoads: 4},
  nearMs: {memory: 400, disk: 700},
  initMs: 300,
};

/** A load that was seen to be under way. */
interface OngoingLoad {
  ref: ModelRef;
  tier: CacheTier;
  sinceMs: number;
  seenAtMs: number;
  /** Transfers from the store that went on when this one was first seen. */
  transfers: number;
  isTransferred: boolean;
}

const NO_LOADS: ReadonlyMap<string, OngoingLoad> = new Map();
const SECOND_MS = 1000;
/** Samples kept for each model, adapter and tier. */
const MAX_SAMPLES = 16;
/** Models and adapters that samples are kept for; the oldest go first. */
const MAX_SERIES = 2_048;
/** Transfers that the present speed of the store is judged by. */
const MAX_SPEED_SAMPLES = 12;
/** How long a finished transfer says something about the present speed. */
const SPEED_MEMORY_MS = 120_000;
const MIN_SPEED_EVIDENCE = 2;
/** A load on an engine that was not heard of for this long says nothing. */
const REPORT_STALE_MS = 5_000;
/** Below this factor the store counts as running at its usual speed. */
const SLOW_FACTOR = 1.5;
const MAX_SLOWDOWN = 50;

/** Learns load times from successive reports of all engines. */
export class LoadTimeEstimates implements LoadTimeSource {
  private limits: WeightStoreLimits;
  private readonly series = new Map<string, SampleWindow>();
  private readonly speeds = new SampleWindow(MAX_SPEED_SAMPLES);
  private readonly ongoing = new Map<string, Map<string, OngoingLoad>>();
  /** The ongoing loads that still fetch from the weight store. */
  private readonly transfers = new Set<OngoingLoad>();
  private readonly reports = new Map<string, EngineState>();

  constructor(private readonly defaults = DEFAULT_LOAD_TIMES) {
    this.limits = defaults.limits;
  }

  setLimits(limits: WeightStoreLimits): void {
    this.limits = limits;
  }

  /** Takes a report in; reports of one engine must come in order. */
  observe(engine: EngineState, atMs: number): void {
    const id = engine.backendServerId;
    const before = this.reports.get(id);
    this.reports.set(id, engine);
    const known = this.ongoing.get(id) ?? NO_LOADS;
    const loading = engine.replicas.filter(each => each.status === 'loading');
    const current = new Map(
      loading.map(replica => [
        replica.slotId,
        known.get(replica.slotId) ?? this.beginLoad(replica, before, atMs),
      ]),
    );
    this.ongoing.set(id, current);
    const followed = [...new Map([...known, ...current]).values()];
    followed
      .filter(load => !load.isTransferred && findTier(load.ref, engine))
      .forEach(load => this.endTransfer(load, atMs - load.sinceMs, atMs));
    if (before) this.noteWarm(engine, before, known, atMs);
    followed.forEach(load => this.transfers.delete(load));
    [...current.values()]
      .filter(load => !load.isTransferred)
      .forEach(load => {
        load.seenAtMs = atMs;
        this.transfers.add(load);
      });
  }

  /** Forgets an engine that is gone. */
  forget(backendServerId: string): void {
    this.ongoing
      .get(backendServerId)
      ?.forEach(load => this.transfers.delete(load));
    this.ongoing.delete(backendServerId);
    this.reports.delete(backendServerId);
  }

  expect(ref: Omit<ModelRef, 'version'>, tier: CacheTier): LoadTimes {
    const window = this.series.get(seriesKey(ref, tier));
    const expectedMs = window?.quantile(0.99);
    const medianMs = window?.quantile(0.5) ?? 0;
    const spreadMs = expectedMs === undefined ? 0 : expectedMs - medianMs;
    if (tier !== 'remote') {
      const initMs = expectedMs ?? this.expectNearMs(tier);
      return {storeMs: 0, initMs, spreadMs};
    }
    const storeMs = expectedMs ?? this.usualTransferMs();
    return {storeMs, initMs: this.defaults.initMs, spreadMs};
  }

  /**
   * How many times slower than usual the weight store is, judged by transfers
   * of all engines that ended lately, and by those that last longer already
   * than they should. The median keeps one odd checkpoint from deciding.
   */
  findSlowdown(nowMs: number): number {
    const running = [...this.transfers]
      .filter(load => nowMs - load.seenAtMs <= REPORT_STALE_MS)
      .map(load => this.findSlowness(load, nowMs - load.sinceMs))
      .filter(slowness => slowness >= SLOW_FACTOR);
    const evidence = [
      ...this.speeds.listSince(nowMs - SPEED_MEMORY_MS),
      ...running,
    ];
    if (evidence.length < MIN_SPEED_EVIDENCE) return 1;
    const slowdown = findQuantile(evidence, 0.5) ?? 1;
    return slowdown < SLOW_FACTOR ? 1 : Math.min(MAX_SLOWDOWN, slowdown);
  }

  /** What other models took from the tier, when this one was not seen. */
  private expectNearMs(tier: 'memory' | 'disk'): number {
    return (
      this.series.get(pooledKey(tier))?.quantile(0.99) ??
      this.defaults.nearMs[tier]
    );
  }

  private beginLoad(
    replica: LoadedReplica,
    before: EngineState | undefined,
    atMs: number,
  ): OngoingLoad {
    const tier = (before && findTier(replica, before)) ?? 'remote';
    const transfers = this.transfers.size + 1;
    const isTransferred = tier !== 'remote';
    return {
      ref: replica,
      tier,
      sinceMs: atMs,
      seenAtMs: atMs,
      transfers,
      isTransferred,
    };
  }

  /** Takes in the loads that ended between two reports. */
  private noteWarm(
    engine: EngineState,
    before: EngineState,
    known: ReadonlyMap<string, OngoingLoad>,
    atMs: number,
  ): void {
    const warmBefore = new Set(
      before.replicas
        .filter(replica => replica.status === 'warm')
        .map(replica => replica.slotId),
    );
    engine.replicas
      .filter(
        replica => replica.status === 'warm' && !warmBefore.has(replica.slotId),
      )
      .forEach(replica => {
        const load =
          known.get(replica.slotId) ?? this.beginLoad(replica, before, atMs);
        if (load.tier !== 'remote') {
          this.addSample(replica, load.tier, replica.loadMs, atMs);
        } else if (!load.isTransferred) {
          const transferMs = replica.loadMs - this.defaults.initMs;
          this.endTransfer(load, Math.max(0, transferMs), atMs);
        }
      });
  }

  private endTransfer(
    load: OngoingLoad,
    transferMs: number,
    atMs: number,
  ): void {
    const slowness = this.findSlowness(load, transferMs);
    load.isTransferred = true;
    this.speeds.add(slowness, atMs);
    this.addSample(load.ref, 'remote', slowness * this.usualTransferMs(), atMs);
  }

  /** How long a transfer took against what its share of the store allows. */
  private findSlowness(load: OngoingLoad, transferMs: number): number {
    const transfers = Math.max(load.transfers, this.transfers.size);
    const share = Math.max(1, transfers / this.limits.fullSpeedLoads);
    return transferMs / (this.usualTransferMs() * share);
  }

  private usualTransferMs(): number {
    const {fullSpeedLoads, loadsPerSecond} = this.limits;
    return (fullSpeedLoads / loadsPerSecond) * SECOND_MS;
  }

  private addSample(
    ref: ModelRef,
    tier: CacheTier,
    valueMs: number,
    atMs: number,
  ): void {
    if (tier !== 'remote') this.addTo(pooledKey(tier), valueMs, atMs);
    this.addTo(seriesKey(ref, tier), valueMs, atMs);
  }

  private addTo(key: string, valueMs: number, atMs: number): void {
    const window = this.series.get(key) ?? new SampleWindow(MAX_SAMPLES);
    window.add(valueMs, atMs);
    this.series.delete(key);
    this.series.set(key, window);
    const [oldest] = this.series.keys();
    if (this.series.size > MAX_SERIES && oldest !== undefined) {
      this.series.delete(oldest);
    }
  }
}

/** Null for a checkpoint that is not near. */
function findTier(ref: ModelRef, engine: EngineState): CacheTier | null {
  const key = formatModelRef(ref);
  return (
    engine.cached.find(cached => formatModelRef(cached) === key)?.tier ?? null
  );
}

/** Near loads of all models together; their sizes matter little. */
function pooledKey(tier: CacheTier): string {
  return `${tier} *`;
}

function seriesKey(ref: Omit<ModelRef, 'version'>, tier: CacheTier): string {
  return `${tier} ${ref.model}${ref.adapter === null ? '' : `+${ref.adapter}`}`;
}
