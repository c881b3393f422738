/** Merges reports of several kinds into the state of one backend server. */
import {
  type BackendServerId,
  type EngineState,
  type LoadReport,
} from '@mimosatack/types';
import {
  type BackendReport,
  type EngineStatus,
  type LoadSample,
  type ReportVersion,
  compareVersions,
  hashText,
} from './report.js';

const NO_LOAD: LoadReport = {
  runningRequests: 0,
  queuedRequests: 0,
  maxRunningRequests: 0,
  tokensPerSecond: 0,
  ageMs: 0,
};

/** The newest report of each kind on one backend server. */
export class BoardEntry {
  status: EngineStatus | null = null;
  /** The merged report that readers of the board get. */
  report: BackendReport;
  private engine: EngineState | null = null;
  private engineVersion: ReportVersion | null = null;
  private loadSample: LoadSample | null = null;
  /** When the steward last confirmed any state; null without a steward. */
  private confirmedAtMs: number | null = null;
  private isStale = false;

  constructor(backendServerId: BackendServerId) {
    this.report = {
      backendServerId,
      reportedAtMs: -Infinity,
      engine: null,
      load: NO_LOAD,
      isReachable: undefined,
    };
  }

  /** Whether the full engine state is at least as new as the warm state. */
  get isEngineCurrent(): boolean {
    if (!this.engine || !this.status) return this.engine !== null;
    return (
      this.engineVersion !== null &&
      compareVersions(this.engineVersion, this.status.version) >= 0
    );
  }

  /** Applies a full report; returns false if a newer one is known. */
  applyReport(report: BackendReport, nowMs: number | null): boolean {
    if (this.isSuperseded(report)) return false;
    this.engine = report.engine;
    this.engineVersion = report.version ?? null;
    this.report = report;
    if (report.version && nowMs !== null) this.confirm(nowMs);
    return true;
  }

  applyStatus(status: EngineStatus, nowMs: number): boolean {
    if (
      this.status &&
      compareVersions(status.version, this.status.version) <= 0
    ) {
      return false;
    }
    this.status = status;
    this.confirm(nowMs);
    this.rebuildReport();
    return true;
  }

  /**
   * Guards against a delayed sample of a former steward, which makes a busy
   * engine look idle: samples of an earlier claim epoch are rejected.
   */
  applyLoad(sample: LoadSample, ageMs: number, nowMs: number): boolean {
    const {epoch, stampMs} = sample;
    if (this.status && epoch < this.status.version.epoch) return false;
    const known = this.loadSample;
    if (known && epoch < known.epoch) return false;
    if (known && epoch === known.epoch && stampMs <= known.stampMs) {
      return false;
    }
    this.loadSample = sample;
    this.confirm(nowMs);
    this.rebuildReport();
    if (sample.load) {
      this.report.reportedAtMs = stampMs;
      this.report.load = {...this.report.load, ...sample.load, ageMs};
    }
    return true;
  }

  /** Applies the full engine state fetched from the steward. */
  applyEngine(engine: EngineState, version: ReportVersion): boolean {
    if (
      this.engineVersion &&
      compareVersions(version, this.engineVersion) < 0
    ) {
      return false;
    }
    this.engine = engine;
    this.engineVersion = version;
    this.rebuildReport();
    return true;
  }

  /** Marks the state as stale after silence; returns whether that is new. */
  expire(nowMs: number, staleAfterMs: number): boolean {
    if (this.isStale || this.confirmedAtMs === null) return false;
    if (nowMs - this.confirmedAtMs < staleAfterMs) return false;
    this.isStale = true;
    this.rebuildReport();
    return true;
  }

  private confirm(nowMs: number): void {
    this.confirmedAtMs = nowMs;
    this.isStale = false;
  }

  private isSuperseded(report: BackendReport): boolean {
    const {version} = report;
    if (!version) return this.report.reportedAtMs >= report.reportedAtMs;
    if (this.loadSample && this.loadSample.epoch > version.epoch) return true;
    const known = this.status?.version;
    return known !== undefined && compareVersions(version, known) < 0;
  }

  private rebuildReport(): void {
    const {status, report} = this;
    const maxRunningRequests =
      status?.maxRunningRequests ?? report.load.maxRunningRequests;
    this.report = {
      ...report,
      engine: this.mergeEngineState(),
      load: {...report.load, maxRunningRequests},
      isReachable: this.resolveReachability(),
      version: status?.version ?? report.version,
    };
  }

  private resolveReachability(): boolean | undefined {
    if (this.isStale) return undefined;
    const {status, loadSample} = this;
    const isLoadNewer =
      loadSample !== null &&
      (!status || loadSample.epoch > status.version.epoch);
    return isLoadNewer ? loadSample.load !== null : status?.isReachable;
  }

  /**
   * The last fetched engine state, with slot use taken from the warm state.
   * Null if the engine is unreachable or has restarted since the fetch.
   */
  private mergeEngineState(): EngineState | null {
    const {engine, status} = this;
    if (!engine || !status) return engine;
    if (hashText(engine.incarnation) !== status.incarnationHash) return null;
    if (!status.isReachable) return null;
    const busy = new Set(status.busySlots);
    const replicas = engine.replicas.map(replica => ({
      ...replica,
      activeRequests: busy.has(hashText(replica.slotId))
        ? Math.max(1, replica.activeRequests)
        : 0,
    }));
    return {...engine, replicas};
  }
}
