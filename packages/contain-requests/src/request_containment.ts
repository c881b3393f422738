/** Decides which requests are kept from servers because they, or parts of them, crash them. */
import {type Clock, type Timer} from '@mimosatack/clock';
import {type EventLogger} from '@mimosatack/logger';
import {
  type PathFingerprint,
  type RequestSuspects,
  type Suspect,
  isPartSuspect,
  toPathFingerprint,
} from '@mimosatack/types';
import {
  type CrashFact,
  CrashEvidence,
  type Cut,
  type CutsByIncarnation,
  type ServerIncarnation,
  findLastCutMs,
} from './crash_evidence.js';
import {
  type Containment,
  CRASHES_TO_CONTAIN,
  decideContainment,
} from './decide_containment.js';
import {ServedParts} from './served_parts.js';

export interface RequestContainmentOptions {
  clock: Clock;
  logger: EventLogger;
  /** Whether this node probes contained suspects on behalf of all nodes. */
  isProbingNode: () => boolean;
}

/** Cuts at one server within this time are of one crash. */
const MIN_RESTART_MS = 1_000;
/** Bounds the time until a decision is logged that no request asks for. */
const MAX_DECISION_DELAY_MS = 50;
/** From the last crash until the first probe of a contained suspect. */
const FIRST_PROBE_DELAY_MS = 30_000;
/** Each probe that crashes a server multiplies the delay of the next one. */
const PROBE_DELAY_FACTOR = 8;

/** Merges the facts of all nodes and decides on single requests. */
export class RequestContainment {
  readonly evidence: CrashEvidence;
  private readonly servedParts: ServedParts;
  /** The contained suspects, each with the time of its next probe; see `decide`. */
  private probeAtMs: ReadonlyMap<Suspect, number> = new Map();
  /** Whether facts were added since the last decision. */
  private isOutdated = false;
  /** Ends when the next decision is due. */
  private timer: Timer | null = null;
  private suspectedPaths: ReadonlySet<PathFingerprint> = new Set();
  private readonly activeProbes = new Set<Suspect>();

  constructor(private readonly options: RequestContainmentOptions) {
    this.evidence = new CrashEvidence(options.clock, CRASHES_TO_CONTAIN);
    this.servedParts = new ServedParts(options.clock);
  }

  /** Whether anything is suspected; otherwise no request needs a check. */
  get hasSuspects(): boolean {
    return !this.evidence.isEmpty;
  }

  isPathSuspected(pathPrint: PathFingerprint): boolean {
    this.decideIfOutdated();
    return this.suspectedPaths.has(pathPrint);
  }

  /** The contained suspects; the one with the latest cut comes last. */
  get contained(): Suspect[] {
    return [...this.evidence.cutsBySuspect.keys()].filter(suspect =>
      this.isContained(suspect),
    );
  }

  /** Whether a connection was lost under the suspect since it was last served. */
  isSuspected(suspect: Suspect): boolean {
    return this.evidence.cutsBySuspect.has(suspect);
  }

  isOneCrashFromContained(suspect: Suspect): boolean {
    const count = this.evidence.cutsBySuspect.get(suspect)?.size ?? 0;
    return count === CRASHES_TO_CONTAIN - 1;
  }

  isContained(suspect: Suspect): boolean {
    this.decideIfOutdated();
    return this.probeAtMs.has(suspect);
  }

  /**
   * Whether a request with these contained suspects may probe one server now; must be
   * followed by `endProbe`.
   *
   * Guards against containing something harmless forever. A single node sends
   * one probe of a suspect at a time, with growing delays, to limit crashes.
   */
  openProbe(suspects: readonly Suspect[]): boolean {
    this.decideIfOutdated();
    const isDue = suspects.every(suspect => this.isProbeDue(suspect));
    if (!isDue || !this.options.isProbingNode()) return false;
    suspects.forEach(suspect => this.activeProbes.add(suspect));
    return true;
  }

  private isProbeDue(suspect: Suspect): boolean {
    const atMs = this.probeAtMs.get(suspect) ?? Infinity;
    return this.nowMs() >= atMs && !this.activeProbes.has(suspect);
  }

  endProbe(suspects: readonly Suspect[]): void {
    suspects.forEach(suspect => this.activeProbes.delete(suspect));
  }

  /** Records a connection that was lost while the server had the request. */
  recordConnectionLoss(
    {fingerprint, parts}: RequestSuspects,
    serverLife: ServerIncarnation,
  ): void {
    const cuts = [
      this.makeCut(fingerprint, serverLife, {recentUses: 0, promptIndex: 0}),
      ...parts.map((part, promptIndex) => {
        const recentUses = this.countUses(part, promptIndex === 0);
        return this.makeCut(part, serverLife, {recentUses, promptIndex});
      }),
    ];
    this.mergeFacts(cuts);
  }

  private countUses(part: Suspect, isFirst: boolean): number {
    return Math.max(this.servedParts.count(part), isFirst ? 1 : 0);
  }

  private makeCut(
    suspect: Suspect,
    serverLife: ServerIncarnation,
    use: Pick<Cut, 'recentUses' | 'promptIndex'>,
  ): CrashFact {
    const atMs = this.nowMs();
    return {
      ...{kind: 'cut', fingerprint: suspect, atMs, ...use},
      serverLife: this.findIncarnation(suspect, serverLife, atMs),
      isTry: this.activeProbes.has(suspect),
    };
  }

  /**
   * Tells a restarted server from its earlier incarnation under the same id while its
   * entry, which would name its start, is out of date.
   */
  private findIncarnation(
    suspect: Suspect,
    serverLife: ServerIncarnation,
    atMs: number,
  ): ServerIncarnation {
    const cuts = this.evidence.cutsBySuspect.get(suspect);
    const known = [...(cuts ?? [])].filter(
      ([life]) => life === serverLife || life.startsWith(`${serverLife}#`),
    );
    const [last] = known.at(-1) ?? [];
    if (!cuts || last === undefined) return serverLife;
    const lastAtMs = findLastCutMs(new Map(known));
    if (atMs - lastAtMs < MIN_RESTART_MS) return last;
    return `${serverLife}#${known.length + 1}`;
  }

  /** Records a complete success response to a request with these suspects. */
  recordSuccess(suspects: readonly Suspect[]): void {
    const atMs = this.nowMs();
    const facts = suspects
      .filter(suspect => this.isSuspected(suspect))
      .map(fingerprint => ({kind: 'served' as const, fingerprint, atMs}));
    this.mergeFacts(facts);
  }

  /** Has to be called for each request that was served. */
  recordServedParts(parts: readonly Suspect[]): void {
    this.servedParts.record(parts);
  }

  /** Merges facts of this node or of others. */
  mergeFacts(facts: readonly CrashFact[]): void {
    const isChanged = facts.map(fact => this.evidence.add(fact)).some(Boolean);
    if (!isChanged || this.isOutdated) return;
    this.isOutdated = true;
    this.scheduleDecision(MAX_DECISION_DELAY_MS);
  }

  /** Decides at most once on many facts, since all suspects are looked at. */
  private decideIfOutdated(): void {
    if (this.isOutdated) this.decide();
  }

  private decide(): void {
    this.isOutdated = false;
    this.evidence.expire();
    const {cutsBySuspect} = this.evidence;
    this.suspectedPaths = new Set(
      [...cutsBySuspect.keys()]
        .filter(suspect => !isPartSuspect(suspect))
        .map(toPathFingerprint),
    );
    const nowMs = this.nowMs();
    const decided = decideContainment(cutsBySuspect);
    const before = this.probeAtMs;
    this.probeAtMs = new Map(
      decided
        .filter(({fromMs, untilMs}) => fromMs <= nowMs && nowMs < untilMs)
        .map(({suspect}) => [
          suspect,
          findNextProbeMs(cutsBySuspect.get(suspect) ?? new Map()),
        ]),
    );
    this.scheduleNextDecision(decided, nowMs);
    this.logChanges(before, this.probeAtMs);
  }

  /** Containment may begin or end at a later time without another fact. */
  private scheduleNextDecision(
    decided: readonly Containment[],
    nowMs: number,
  ): void {
    const nextMs = Math.min(
      ...decided
        .flatMap(({fromMs, untilMs}) => [fromMs, untilMs])
        .filter(atMs => atMs > nowMs),
    );
    this.timer?.cancel();
    if (Number.isFinite(nextMs)) this.scheduleDecision(nextMs - nowMs);
  }

  private scheduleDecision(delayMs: number): void {
    this.timer?.cancel();
    this.timer = this.options.clock.setTimer(delayMs, () => this.decide());
  }

  private logChanges(
    before: ReadonlyMap<Suspect, number>,
    after: ReadonlyMap<Suspect, number>,
  ): void {
    const {logger} = this.options;
    const {cutsBySuspect} = this.evidence;
    [...after]
      .filter(([fingerprint, atMs]) => before.get(fingerprint) !== atMs)
      .forEach(([fingerprint, atMs]) =>
        logger.log('request-contained', {
          fingerprint,
          serverLives: [...(cutsBySuspect.get(fingerprint)?.keys() ?? [])],
          tryInMs: Math.round(atMs - this.nowMs()),
        }),
      );
    [...before.keys()]
      .filter(fingerprint => !after.has(fingerprint))
      .forEach(fingerprint =>
        logger.log('request-released', {
          fingerprint,
          cuts: cutsBySuspect.get(fingerprint)?.size ?? 0,
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
