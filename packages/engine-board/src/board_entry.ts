/** What is known of one backend server, put together from several sources. */
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

/** The newest of each kind of news on one backend server. */
export class BoardEntry {
  status: EngineStatus | null = null;
  /** The view that readers of the board get. */
  report: BackendReport;
  private engine: EngineState | null = null;
  private engineVersion: ReportVersion | null = null;
  private sample: LoadSample | null = null;
  /** When the steward was last heard of; null without a steward. */
  private heardAtMs: number | null = null;
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

  /** Whether the whole state of the engine is as new as the warm state. */
  get isEngineCurrent(): boolean {
    if (!this.engine || !this.status) return this.engine !== null;
    return (
      this.engineVersion !== null &&
      compareVersions(this.engineVersion, this.status.version) >= 0
    );
  }

  /** Takes a whole report; returns false if a newer one is known. */
  noteReport(report: BackendReport, nowMs: number | null): boolean {
    if (this.isOutdated(report)) return false;
    this.engine = report.engine;
    this.engineVersion = report.version ?? null;
    this.report = report;
    if (report.version && nowMs !== null) this.confirm(nowMs);
    return true;
  }

  noteStatus(status: EngineStatus, nowMs: number): boolean {
    if (
      this.status &&
      compareVersions(status.version, this.status.version) <= 0
    ) {
      return false;
    }
    this.status = status;
    this.confirm(nowMs);
    this.rebuild();
    return true;
  }

  /**
   * Guards against a late sample of a former steward: it would make a busy
   * engine look idle. The epoch comes from the agreed claim, so a sample of
   * an earlier claim is below all that a later steward has told.
   */
  noteLoad(sample: LoadSample, ageMs: number, nowMs: number): boolean {
    const {epoch, stampMs} = sample;
    if (this.status && epoch < this.status.version.epoch) return false;
    const known = this.sample;
    if (known && epoch < known.epoch) return false;
    if (known && epoch === known.epoch && stampMs <= known.stampMs) {
      return false;
    }
    this.sample = sample;
    this.confirm(nowMs);
    this.rebuild();
    if (sample.load) {
      this.report.reportedAtMs = stampMs;
      this.report.load = {...this.report.load, ...sample.load, ageMs};
    }
    return true;
  }

  /** Takes the whole state as pulled from the steward. */
  noteEngine(engine: EngineState, version: ReportVersion): boolean {
    if (
      this.engineVersion &&
      compareVersions(version, this.engineVersion) < 0
    ) {
      return false;
    }
    this.engine = engine;
    this.engineVersion = version;
    this.rebuild();
    return true;
  }

  /** Counts as not known from now on if it was silent; tells if it changed. */
  expire(nowMs: number, staleAfterMs: number): boolean {
    if (this.isStale || this.heardAtMs === null) return false;
    if (nowMs - this.heardAtMs < staleAfterMs) return false;
    this.isStale = true;
    this.rebuild();
    return true;
  }

  private confirm(nowMs: number): void {
    this.heardAtMs = nowMs;
    this.isStale = false;
  }

  private isOutdated(report: BackendReport): boolean {
    const {version} = report;
    if (!version) return this.report.reportedAtMs >= report.reportedAtMs;
    if (this.sample && this.sample.epoch > version.epoch) return true;
    const known = this.status?.version;
    return known !== undefined && compareVersions(version, known) < 0;
  }

  private rebuild(): void {
    const {status, report} = this;
    const maxRunningRequests =
      status?.maxRunningRequests ?? report.load.maxRunningRequests;
    this.report = {
      ...report,
      engine: this.describeEngine(),
      load: {...report.load, maxRunningRequests},
      isReachable: this.findReachable(),
      version: status?.version ?? report.version,
    };
  }

  private findReachable(): boolean | undefined {
    if (this.isStale) return undefined;
    const {status, sample} = this;
    const isLoadNewer =
      sample !== null && (!status || sample.epoch > status.version.epoch);
    return isLoadNewer ? sample.load !== null : status?.isReachable;
  }

  /**
   * The state that was pulled last, with what the warm state says of use since
   * then. An engine that has restarted since holds nothing of it.
   */
  private describeEngine(): EngineState | null {
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
