/**
 * Estimates load times from engine reports. A wrong estimate makes a load
 * early or late and has no effect on correctness.
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

/** Expected duration of a load. */
export interface LoadTimes {
  /** Transfer from the weight store; 0 for a load from a local cache. */
  storeMs: number;
  /** The rest of the load: reading a local cache and initializing the model. */
  initMs: number;
  /** The 99th percentile of observed loads minus their median. */
  spreadMs: number;
}

/** Provides expected load times of a base model or adapter by cache tier. */
export interface LoadTimeSource {
  estimate(ref: Omit<ModelRef, 'version'>, tier: CacheTier): LoadTimes;
}

/** Load times that are assumed until loads have been observed. */
export interface LoadTimeDefaults {
  limits: WeightStoreLimits;
  /** Load time from a local cache, by tier. */
  cachedLoadMs: Record<'memory' | 'disk', number>;
  /** Initialization after a transfer from the weight store. */
  initMs: number;
}

export const DEFAULT_LOAD_TIMES: LoadTimeDefaults = {
  limits: {loadsPerSecond: 3, fullSpeedLoads: 4},
  cachedLoadMs: {memory: 400, disk: 700},
  initMs: 300,
};

/** A load that an engine has reported as running. */
interface OngoingLoad {
  ref: ModelRef;
  tier: CacheTier;
  startedAtMs: number;
  lastSeenAtMs: number;
  /** Store transfers running at the first report, this load included. */
  concurrentTransfers: number;
  isTransferred: boolean;
}

const NO_LOADS: ReadonlyMap<string, OngoingLoad> = new Map();
const SECOND_MS = 1000;
/** Samples per model, adapter and tier. */
const MAX_SAMPLES_PER_SERIES = 16;
/** Series kept; the least recently updated is evicted first. */
const MAX_SERIES = 2_048;
const MAX_SLOWDOWN_SAMPLES = 12;
/** Age up to which a finished transfer counts towards the current slowdown. */
const SLOWDOWN_SAMPLE_MAX_AGE_MS = 120_000;
const MIN_SLOWDOWN_SAMPLES = 2;
/** A running load counts only if its engine reported it within this time. */
const MAX_REPORT_AGE_MS = 5_000;
/** Below this factor the store counts as running at nominal speed. */
const MIN_SLOWDOWN = 1.5;
const MAX_SLOWDOWN = 50;

/** Derives load times from successive reports of all engines. */
export class LoadTimeEstimates implements LoadTimeSource {
  private limits: WeightStoreLimits;
  private readonly series = new Map<string, SampleWindow>();
  private readonly slowdownSamples = new SampleWindow(MAX_SLOWDOWN_SAMPLES);
  private readonly ongoingLoads = new Map<string, Map<string, OngoingLoad>>();
  /** Ongoing loads that are still transferring from the weight store. */
  private readonly activeTransfers = new Set<OngoingLoad>();
  private readonly latestReports = new Map<string, EngineState>();

  constructor(private readonly defaults = DEFAULT_LOAD_TIMES) {
    this.limits = defaults.limits;
  }

  setLimits(limits: WeightStoreLimits): void {
    this.limits = limits;
  }

  /** Processes a report; reports of one engine must arrive in order. */
  observe(engine: EngineState, atMs: number): void {
    const id = engine.backendServerId;
    const previous = this.latestReports.get(id);
    this.latestReports.set(id, engine);
    const previousLoads = this.ongoingLoads.get(id) ?? NO_LOADS;
    const loading = engine.replicas.filter(each => each.status === 'loading');
    const currentLoads = new Map(
      loading.map(replica => [
        replica.slotId,
        previousLoads.get(replica.slotId) ??
          this.beginLoad(replica, previous, atMs),
      ]),
    );
    this.ongoingLoads.set(id, currentLoads);
    const trackedLoads = [
      ...new Map([...previousLoads, ...currentLoads]).values(),
    ];
    trackedLoads
      .filter(load => !load.isTransferred && findCacheTier(load.ref, engine))
      .forEach(load =>
        this.finishTransfer(load, atMs - load.startedAtMs, atMs),
      );
    if (previous) this.recordFinished(engine, previous, previousLoads, atMs);
    trackedLoads.forEach(load => this.activeTransfers.delete(load));
    [...currentLoads.values()]
      .filter(load => !load.isTransferred)
      .forEach(load => {
        load.lastSeenAtMs = atMs;
        this.activeTransfers.add(load);
      });
  }

  /** Drops the state of an engine that no longer exists. */
  removeEngine(backendServerId: string): void {
    this.ongoingLoads
      .get(backendServerId)
      ?.forEach(load => this.activeTransfers.delete(load));
    this.ongoingLoads.delete(backendServerId);
    this.latestReports.delete(backendServerId);
  }

  estimate(ref: Omit<ModelRef, 'version'>, tier: CacheTier): LoadTimes {
    const window = this.series.get(seriesKey(ref, tier));
    const expectedMs = window?.quantile(0.99);
    const medianMs = window?.quantile(0.5) ?? 0;
    const spreadMs = expectedMs === undefined ? 0 : expectedMs - medianMs;
    if (tier !== 'remote') {
      const initMs = expectedMs ?? this.expectCachedLoadMs(tier);
      return {storeMs: 0, initMs, spreadMs};
    }
    const storeMs = expectedMs ?? this.nominalTransferMs();
    return {storeMs, initMs: this.defaults.initMs, spreadMs};
  }

  /**
   * Estimates how many times slower than nominal the weight store is, from
   * recently finished transfers and running ones that are already overdue.
   * Takes the median so that a single large checkpoint does not count as a
   * slow store.
   */
  findSlowdown(nowMs: number): number {
    const running = [...this.activeTransfers]
      .filter(load => nowMs - load.lastSeenAtMs <= MAX_REPORT_AGE_MS)
      .map(load => this.computeTransferSlowdown(load, nowMs - load.startedAtMs))
      .filter(factor => factor >= MIN_SLOWDOWN);
    const samples = [
      ...this.slowdownSamples.listSince(nowMs - SLOWDOWN_SAMPLE_MAX_AGE_MS),
      ...running,
    ];
    if (samples.length < MIN_SLOWDOWN_SAMPLES) return 1;
    const slowdown = findQuantile(samples, 0.5) ?? 1;
    return slowdown < MIN_SLOWDOWN ? 1 : Math.min(MAX_SLOWDOWN, slowdown);
  }

  /** Fallback for a model without samples, from the loads of all models. */
  private expectCachedLoadMs(tier: 'memory' | 'disk'): number {
    return (
      this.series.get(allModelsKey(tier))?.quantile(0.99) ??
      this.defaults.cachedLoadMs[tier]
    );
  }

  private beginLoad(
    replica: LoadedReplica,
    previous: EngineState | undefined,
    atMs: number,
  ): OngoingLoad {
    const tier = (previous && findCacheTier(replica, previous)) ?? 'remote';
    const concurrentTransfers = this.activeTransfers.size + 1;
    const isTransferred = tier !== 'remote';
    return {
      ref: replica,
      tier,
      startedAtMs: atMs,
      lastSeenAtMs: atMs,
      concurrentTransfers,
      isTransferred,
    };
  }

  /** Records the loads that finished between two reports. */
  private recordFinished(
    engine: EngineState,
    previous: EngineState,
    previousLoads: ReadonlyMap<string, OngoingLoad>,
    atMs: number,
  ): void {
    const warmBefore = new Set(
      previous.replicas
        .filter(replica => replica.status === 'warm')
        .map(replica => replica.slotId),
    );
    engine.replicas
      .filter(
        replica => replica.status === 'warm' && !warmBefore.has(replica.slotId),
      )
      .forEach(replica => {
        const load =
          previousLoads.get(replica.slotId) ??
          this.beginLoad(replica, previous, atMs);
        if (load.tier !== 'remote') {
          this.addSample(replica, load.tier, replica.loadMs, atMs);
        } else if (!load.isTransferred) {
          const transferMs = replica.loadMs - this.defaults.initMs;
          this.finishTransfer(load, Math.max(0, transferMs), atMs);
        }
      });
  }

  private finishTransfer(
    load: OngoingLoad,
    transferMs: number,
    atMs: number,
  ): void {
    const slowdown = this.computeTransferSlowdown(load, transferMs);
    load.isTransferred = true;
    this.slowdownSamples.add(slowdown, atMs);
    this.addSample(
      load.ref,
      'remote',
      slowdown * this.nominalTransferMs(),
      atMs,
    );
  }

  /** Ratio of the actual to the expected duration of a transfer. */
  private computeTransferSlowdown(
    load: OngoingLoad,
    transferMs: number,
  ): number {
    const concurrentTransfers = Math.max(
      load.concurrentTransfers,
      this.activeTransfers.size,
    );
    const share = Math.max(1, concurrentTransfers / this.limits.fullSpeedLoads);
    return transferMs / (this.nominalTransferMs() * share);
  }

  private nominalTransferMs(): number {
    const {fullSpeedLoads, loadsPerSecond} = this.limits;
    return (fullSpeedLoads / loadsPerSecond) * SECOND_MS;
  }

  private addSample(
    ref: ModelRef,
    tier: CacheTier,
    valueMs: number,
    atMs: number,
  ): void {
    if (tier !== 'remote') this.addToSeries(allModelsKey(tier), valueMs, atMs);
    this.addToSeries(seriesKey(ref, tier), valueMs, atMs);
  }

  private addToSeries(key: string, valueMs: number, atMs: number): void {
    const window =
      this.series.get(key) ?? new SampleWindow(MAX_SAMPLES_PER_SERIES);
    window.add(valueMs, atMs);
    this.series.delete(key);
    this.series.set(key, window);
    const [oldest] = this.series.keys();
    if (this.series.size > MAX_SERIES && oldest !== undefined) {
      this.series.delete(oldest);
    }
  }
}

/** Returns null for a checkpoint that is in no local cache. */
function findCacheTier(ref: ModelRef, engine: EngineState): CacheTier | null {
  const key = formatModelRef(ref);
  return (
    engine.cached.find(cached => formatModelRef(cached) === key)?.tier ?? null
  );
}

/** Key of the series for loads of all models from one cache tier. */
function allModelsKey(tier: CacheTier): string {
  return `${tier} *`;
}

function seriesKey(ref: Omit<ModelRef, 'version'>, tier: CacheTier): string {
  return `${tier} ${ref.model}${ref.adapter === null ? '' : `+${ref.adapter}`}`;
}
