/** Decides which requests are kept from servers because they crash them. */
import {type Clock} from '@mimosatack/clock';
import {type EventLogger} from '@mimosatack/logger';
import {
  type PathFingerprint,
  type RequestFingerprint,
  toPathFingerprint,
} from '@mimosatack/types';
import {
  type CrashFact,
  CrashEvidence,
  type CutsByIncarnation,
  type ServerIncarnation,
  findLastCutMs,
} from './crash_evidence.js';

export interface RequestContainmentOptions {
  clock: Clock;
  logger: EventLogger;
  /** Whether this node probes contained requests on behalf of all nodes. */
  isProbingNode: () => boolean;
}

/**
 * Guards against containing a harmless request that ran beside a crashing one:
 * such a request is usually served before it loses three servers. Crashes that other
 * requests may explain count as well: where several requests crash servers at once,
 * leaving them out would blame harmless ones.
 */
const CRASHES_TO_CONTAIN = 3;
/** Cuts at one server within this time are of one crash. */
const MIN_RESTART_MS = 1_000;
/** From the last crash until the first probe of a contained request. */
const FIRST_PROBE_DELAY_MS = 30_000;
/** Each probe that crashes a server multiplies the delay of the next one. */
const PROBE_DELAY_FACTOR = 8;

/** Merges the facts of all nodes and decides on single requests. */
export class RequestContainment {
  readonly evidence: CrashEvidence;
  /** The contained requests, each with the time of its next probe. */
  private probeAtMs: ReadonlyMap<RequestFingerprint, number> = new Map();
  private suspectedPaths: ReadonlySet<PathFingerprint> = new Set();
  private readonly activeProbes = new Set<RequestFingerprint>();

  constructor(private readonly options: RequestContainmentOptions) {
    this.evidence = new CrashEvidence(options.clock, CRASHES_TO_CONTAIN);
  }

  /** Whether any request is suspected; otherwise no request needs a check. */
  get hasSuspects(): boolean {
    return !this.evidence.isEmpty;
  }

  isPathSuspected(pathPrint: PathFingerprint): boolean {
    return this.suspectedPaths.has(pathPrint);
  }

  /** The contained requests; the one with the latest cut comes last. */
  get contained(): RequestFingerprint[] {
    return [...this.evidence.cutsByRequest.keys()].filter(fingerprint =>
      this.isContained(fingerprint),
    );
  }

  /** Whether a connection was lost under the request since it was last served. */
  isSuspected(fingerprint: RequestFingerprint): boolean {
    return this.evidence.cutsByRequest.has(fingerprint);
  }

  isOneCrashFromContained(fingerprint: RequestFingerprint): boolean {
    const count = this.evidence.cutsByRequest.get(fingerprint)?.size ?? 0;
    return count === CRASHES_TO_CONTAIN - 1;
  }

  isContained(fingerprint: RequestFingerprint): boolean {
    return this.probeAtMs.has(fingerprint);
  }

  /**
   * Whether a contained request may probe one server now; must be followed by
   * `endProbe`.
   *
   * Guards against containing a harmless request forever. A single node sends
   * one probe of a request at a time, with growing delays, to limit crashes.
   */
  openProbe(fingerprint: RequestFingerprint): boolean {
    const atMs = this.probeAtMs.get(fingerprint) ?? Infinity;
    const isDue = this.nowMs() >= atMs && this.options.isProbingNode();
    if (!isDue || this.activeProbes.has(fingerprint)) return false;
    this.activeProbes.add(fingerprint);
    return true;
  }

  endProbe(fingerprint: RequestFingerprint): void {
    this.activeProbes.delete(fingerprint);
  }

  /** Records a connection that was lost while the server had the request. */
  recordConnectionLoss(
    fingerprint: RequestFingerprint,
    serverLife: ServerIncarnation,
  ): void {
    const atMs = this.nowMs();
    const isTry = this.activeProbes.has(fingerprint);
    const incarnation = this.findIncarnation(fingerprint, serverLife, atMs);
    this.mergeFacts([
      {kind: 'cut', fingerprint, serverLife: incarnation, atMs, isTry},
    ]);
  }

  /**
   * Tells a restarted server from its earlier incarnation under the same id while its
   * entry, which would name its start, is out of date.
   */
  private findIncarnation(
    fingerprint: RequestFingerprint,
    serverLife: ServerIncarnation,
    atMs: number,
  ): ServerIncarnation {
    const cuts = this.evidence.cutsByRequest.get(fingerprint);
    const known = [...(cuts ?? [])].filter(
      ([life]) => life === serverLife || life.startsWith(`${serverLife}#`),
    );
    const [last] = known.at(-1) ?? [];
    if (!cuts || last === undefined) return serverLife;
    const lastAtMs = findLastCutMs(new Map(known));
    if (atMs - lastAtMs < MIN_RESTART_MS) return last;
    return `${serverLife}#${known.length + 1}`;
  }

  /** Records a complete success response. */
  recordSuccess(fingerprint: RequestFingerprint): void {
    if (!this.evidence.cutsByRequest.has(fingerprint)) return;
    this.mergeFacts([{kind: 'served', fingerprint, atMs: this.nowMs()}]);
  }

  /** Merges facts of this node or of others. */
  mergeFacts(facts: readonly CrashFact[]): void {
    const isChanged = facts.map(fact => this.evidence.add(fact)).some(Boolean);
    if (isChanged) this.updateContained();
  }

  private updateContained(): void {
    this.evidence.expire();
    this.suspectedPaths = new Set(
      [...this.evidence.cutsByRequest.keys()].map(toPathFingerprint),
    );
    const before = this.probeAtMs;
    this.probeAtMs = new Map(
      [...this.evidence.cutsByRequest]
        .filter(([, cuts]) => cuts.size >= CRASHES_TO_CONTAIN)
        .map(([fingerprint, cuts]) => [fingerprint, findNextProbeMs(cuts)]),
    );
    this.logChanges(before, this.probeAtMs);
  }

  private logChanges(
    before: ReadonlyMap<RequestFingerprint, number>,
    after: ReadonlyMap<RequestFingerprint, number>,
  ): void {
    const {logger} = this.options;
    const {cutsByRequest} = this.evidence;
    [...after]
      .filter(([fingerprint, atMs]) => before.get(fingerprint) !== atMs)
      .forEach(([fingerprint, atMs]) =>
        logger.log('request-contained', {
          fingerprint,
          serverLives: [...(cutsByRequest.get(fingerprint)?.keys() ?? [])],
          tryInMs: Math.round(atMs - this.nowMs()),
        }),
      );
    [...before.keys()]
      .filter(fingerprint => !after.has(fingerprint))
      .forEach(fingerprint =>
        logger.log('request-released', {
          fingerprint,
          cuts: cutsByRequest.get(fingerprint)?.size ?? 0,
        }),
      );
  }

  private nowMs(): number {
    return this.options.clock.monotonicMs();
  }
}

function findNextProbeMs(cuts: CutsByIncarnation): number {
  const failedProbes = [...cuts.values()].filter(({isTry}) => isTry).length;
  return (
    findLastCutMs(cuts) +
    FIRST_PROBE_DELAY_MS * PROBE_DELAY_FACTOR ** failedProbes
  );
}
