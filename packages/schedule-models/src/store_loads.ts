/** Limits the loads from the weight store. */
import {type BackendServerId, type ModelName} from '@mimosatack/types';

/** Length of the window in which loads are counted. */
const WINDOW_MS = 5_000;
const MS_PER_SECOND = 1_000;
/**
 * Fraction of the store's rate that one scheduler uses. Two schedulers in
 * succession stay within the rate although the second does not know the first
 * one's loads.
 */
const RATE_FRACTION = 0.45;
/**
 * Concurrency limit until load times are known. Two concurrent loads show
 * whether they slow each other down.
 */
const INITIAL_LIMIT = 2;
/**
 * Engines report a finished load with their next heartbeat, so a load appears
 * longer by up to this time.
 */
const MAX_REPORT_DELAY_MS = 1_500;
/** A load counts as lost after this multiple of its expected duration. */
const LOST_LOAD_FACTOR = 10;
/** A load that takes longer by this factor was slowed down by others. */
const SLOWED_FACTOR = 1.25;
/**
 * Time after which a higher limit is tried again, since the store may have been
 * slow for another reason.
 */
const RAISE_RETRY_MS = 600_000;

interface RunningLoad {
  model: ModelName;
  startedAtMs: number;
  /** Duration at full speed. */
  durationMs: number;
  /**
   * The highest number of concurrent loads during this one, itself included.
   */
  peakConcurrency: number;
  /** The number of concurrent loads when this one began, itself included. */
  startConcurrency: number;
  /** Whether the engine listed the model before its load can have finished. */
  isReportedEarly: boolean;
}

/** How a load from the weight store has ended. */
export interface StoreLoadEnd {
  engineId: BackendServerId;
  model: ModelName;
  /**
   * `loaded` if an engine reported it in time, `early` if it was reported before it can have
   * finished, `lost` if no report came, `gone` if the engine has left or has refused it.
   */
  result: 'loaded' | 'early' | 'lost' | 'gone';
  /** Null if the engine has left or has refused the load. */
  tookMs: number | null;
  /** Duration at full speed. */
  expectedMs: number;
  /** The highest number of concurrent loads during this one, itself included. */
  peakConcurrency: number;
  /** Number of concurrent loads that are allowed from now on. */
  limit: number;
}

/**
 * Limits loads to the store's rate and learns how many concurrent loads it
 * supports, which is not configured.
 *
 * Guards against loads that slow each other down and keep their engines from
 * swapping for waiting requests: where the store serves one load at full speed, four
 * at once take four times as long. How many it serves is not configured.
 */
export class StoreLoads {
  private startTimesMs: number[] = [];
  private readonly running = new Map<BackendServerId, RunningLoad>();
  private limit = INITIAL_LIMIT;
  /** Engines that may be loading by orders that are not known here. */
  private unknownCount = 0;
  /** Number of concurrent loads that slowed each other down. */
  private overloadCount = Infinity;
  private overloadedAtMs = -Infinity;

  /** @param onEnd called for each load that no longer counts as running. */
  constructor(private readonly onEnd: (end: StoreLoadEnd) => void = () => {}) {}

  isRunning(engineId: BackendServerId): boolean {
    return this.running.has(engineId);
  }

  get concurrencyLimit(): number {
    return this.limit;
  }

  canStart(perSecond: number, nowMs: number): boolean {
    this.dropExpired(nowMs);
    this.startTimesMs = this.startTimesMs.filter(
      atMs => atMs > nowMs - WINDOW_MS,
    );
    const maxLoads = (perSecond * WINDOW_MS * RATE_FRACTION) / MS_PER_SECOND;
    const isWithinRate = this.startTimesMs.length + 1 <= maxLoads;
    return isWithinRate && this.concurrency < this.limit;
  }

  /** @param durationMs duration of the load at full speed. */
  recordStart(
    engineId: BackendServerId,
    model: ModelName,
    durationMs: number,
    nowMs: number,
  ): void {
    this.startTimesMs.push(nowMs);
    this.running.set(engineId, {
      ...{model, durationMs, peakConcurrency: 0, startedAtMs: nowMs},
      isReportedEarly: false,
      startConcurrency: this.isRunning(engineId)
        ? this.concurrency
        : this.concurrency + 1,
    });
    this.updatePeaks();
  }

  /** Applies the list of models that an engine reports as resident. */
  recordResidents(
    engineId: BackendServerId,
    models: readonly ModelName[],
    nowMs: number,
  ): void {
    const load = this.running.get(engineId);
    if (!load || !models.includes(load.model)) return;
    if (nowMs - load.startedAtMs < load.durationMs) {
      load.isReportedEarly = true;
      return;
    }
    if (!load.isReportedEarly) this.updateLimit(load, nowMs);
    this.finish(engineId, load.isReportedEarly ? 'early' : 'loaded', nowMs);
  }

  /**
   * Guards against a successor that starts as many loads as its predecessor has under way, and
   * takes the time that they all need for what the store serves at full speed.
   */
  setUnknownCount(count: number): void {
    this.unknownCount = count;
    this.updatePeaks();
  }

  /** Loads under way, with those that are not known here. */
  get concurrency(): number {
    return this.running.size + this.unknownCount;
  }

  private updatePeaks(): void {
    this.running.forEach(load => {
      load.peakConcurrency = Math.max(load.peakConcurrency, this.concurrency);
    });
  }

  /** Ends the loads that their engines are not carrying out. */
  endWhere(
    isAbandoned: (engineId: BackendServerId, model: ModelName) => boolean,
  ): void {
    this.running.forEach(({model}, engineId) => {
      if (isAbandoned(engineId, model)) this.recordEnd(engineId);
    });
  }

  /** Called when the engine has left or does not carry out the load. */
  recordEnd(engineId: BackendServerId): void {
    this.finish(engineId, 'gone', null);
  }

  private finish(
    engineId: BackendServerId,
    result: StoreLoadEnd['result'],
    nowMs: number | null,
  ): void {
    const load = this.running.get(engineId);
    if (!load) return;
    this.running.delete(engineId);
    const {model, startedAtMs, durationMs, peakConcurrency} = load;
    this.onEnd({
      ...{engineId, model, result, peakConcurrency},
      ...{tookMs: nowMs === null ? null : nowMs - startedAtMs},
      expectedMs: durationMs,
      limit: this.limit,
    });
  }

  /**
   * A load that others have joined later is no evidence that the store serves as many at full
   * speed: it may have ended before they slowed it down.
   */
  private updateLimit(
    {startedAtMs, durationMs, peakConcurrency, startConcurrency}: RunningLoad,
    nowMs: number,
  ): void {
    const tookMs = nowMs - startedAtMs;
    const factor = Math.max(1, (tookMs - MAX_REPORT_DELAY_MS) / durationMs);
    if (factor > SLOWED_FACTOR) {
      const sustained = Math.max(1, Math.floor(peakConcurrency / factor));
      this.limit = Math.min(this.limit, sustained);
      this.overloadCount = Math.max(startConcurrency, sustained + 1);
      this.overloadedAtMs = nowMs;
    } else if (startConcurrency >= this.limit && this.mayRaiseLimit(nowMs)) {
      this.limit += 1;
    }
  }

  private mayRaiseLimit(nowMs: number): boolean {
    const isLongAgo = nowMs - this.overloadedAtMs > RAISE_RETRY_MS;
    return this.limit + 1 < this.overloadCount || isLongAgo;
  }

  /**
   * Drops loads without a final report. A load that was reported early counts
   * until its expected end, since some engines list a model while loading it.
   */
  private dropExpired(nowMs: number): void {
    this.running.forEach(
      ({startedAtMs, durationMs, isReportedEarly}, engineId) => {
        const times = isReportedEarly ? 1 : LOST_LOAD_FACTOR;
        const isOver = nowMs - startedAtMs > times * durationMs;
        if (isOver) {
          this.finish(engineId, isReportedEarly ? 'early' : 'lost', nowMs);
        }
      },
    );
  }
}
