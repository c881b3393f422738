import {
  type BackendReport,
  type EngineStatus,
  hashText,
} from '@mimosatack/engine-board';
import {
  type BackendServerId,
  type EngineState,
  formatModelRef,
} from '@mimosatack/types';

/** The claim under which a steward, the node that polls an engine, reads it. */
export interface StewardTerm {
  epoch: number;
  rank: number;
}

/** How long a slot counts as busy after its last request. */
const BUSY_HOLD_MS = 30_000;

interface OwnEngine {
  status: EngineStatus;
  fingerprint: string;
  busyUntilMs: Map<string, number>;
}

/**
 * Builds the warm states of the engines that this node's stewards read, and
 * increments the version when a shared property changes.
 */
export class OwnEngines {
  private readonly engines = new Map<BackendServerId, OwnEngine>();
  private count = 0;

  /** @param needsSlotUsage whether the planner has to know of a slot's use. */
  constructor(
    private readonly needsSlotUsage: (
      id: BackendServerId,
      engineSlotId: string,
    ) => boolean,
  ) {}

  /** Returns the previous warm state object if nothing has changed. */
  update(
    report: BackendReport,
    term: StewardTerm,
    nowMs: number,
  ): EngineStatus {
    const id = report.backendServerId;
    const known = this.engines.get(id);
    const engine = this.trackBusySlots(report, known, nowMs);
    const fingerprint = JSON.stringify([
      term,
      report.isReachable,
      report.engine && listSharedProperties(report.engine),
      [...engine.busyUntilMs.keys()].sort(),
    ]);
    if (known?.fingerprint === fingerprint) {
      known.busyUntilMs = engine.busyUntilMs;
      return known.status;
    }
    this.count += 1;
    const version = {...term, count: this.count};
    const status = makeStatus(report, version, known?.status, engine);
    this.engines.set(id, {...engine, status, fingerprint});
    return status;
  }

  private trackBusySlots(
    {backendServerId, engine}: BackendReport,
    known: OwnEngine | undefined,
    nowMs: number,
  ): Pick<OwnEngine, 'busyUntilMs'> {
    const active = (engine?.replicas ?? [])
      .filter(replica => replica.activeRequests > 0)
      .map(replica => replica.slotId)
      .filter(slotId => this.needsSlotUsage(backendServerId, slotId));
    const kept = [...(known?.busyUntilMs ?? [])].filter(
      ([, untilMs]) => untilMs > nowMs,
    );
    const busyUntilMs = new Map(kept);
    active.forEach(slotId => busyUntilMs.set(slotId, nowMs + BUSY_HOLD_MS));
    return {busyUntilMs};
  }
}

function makeStatus(
  {backendServerId, engine, load, isReachable}: BackendReport,
  version: EngineStatus['version'],
  known: EngineStatus | undefined,
  {busyUntilMs}: Pick<OwnEngine, 'busyUntilMs'>,
): EngineStatus {
  const warm = (engine?.replicas ?? []).filter(
    replica => replica.status === 'warm',
  );
  return {
    backendServerId,
    version,
    incarnationHash: engine
      ? hashText(engine.incarnation)
      : (known?.incarnationHash ?? 0),
    isReachable: isReachable === true,
    maxRunningRequests: load.maxRunningRequests,
    warmSlots: warm.map(replica => hashText(replica.slotId)),
    busySlots: [...busyUntilMs.keys()].map(hashText),
  };
}

/** The shared properties, without those that change constantly. */
function listSharedProperties(engine: EngineState) {
  return [
    engine.incarnation,
    engine.load.maxRunningRequests,
    engine.replicas.map(({slotId, status, loadMs}) => [slotId, status, loadMs]),
    engine.cached.map(cached => [formatModelRef(cached), cached.tier]),
  ];
}
