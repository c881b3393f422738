/** Evidence of which requests and prompt parts crash servers, collected from all nodes. */
import {type Clock} from '@mimosatack/clock';
import {type Suspect, isPartSuspect} from '@mimosatack/types';

/** Identifies a server process; a restarted server is another incarnation. */
export type ServerIncarnation = string;

/** An observation of a node; times are on this node's monotonic clock. */
export type CrashFact =
  /** A connection was lost while the server had a request with the suspect. */
  | {
      kind: 'cut';
      fingerprint: Suspect;
      serverLife: ServerIncarnation;
      atMs: number;
      /** Whether the request was a probe of a contained suspect. */
      isTry: boolean;
      /**
       * How often the node had of late seen requests with the part served, at least 1 for
       * the first part of a prompt, which many requests share. 0 for a request.
       */
      recentUses: number;
      /** The place of the part in its prompt, from 0. 0 for a request. */
      promptIndex: number;
    }
  /** A server completed a request with the suspect with a success. */
  | {kind: 'served'; fingerprint: Suspect; atMs: number};

export type Cut = Pick<
  Extract<CrashFact, {kind: 'cut'}>,
  'atMs' | 'isTry' | 'recentUses' | 'promptIndex'
>;

/** The server incarnations that lost their connection under a suspect. */
export type CutsByIncarnation = ReadonlyMap<ServerIncarnation, Cut>;

/**
 * Beyond this number the oldest suspects that are not contained are evicted
 * first, so that other suspects never displace contained ones.
 */
const MAX_SUSPECTS = 2_000;
/** The newest cuts and those of probes are kept. */
const MAX_CUTS_PER_REQUEST = 8;
/**
 * More than a part makes until all nodes keep it from servers. A part no longer explains a
 * crash whose cut was evicted, so that parts that only ran beside it seem to be the cause.
 */
const MAX_CUTS_PER_PART = 32;
const FACT_MAX_AGE_MS = 24 * 3_600_000;

interface SequencedFact {
  sequence: number;
  fact: CrashFact;
}

/**
 * A set of facts with an idempotent merge: the same fact from several nodes
 * counts once, in any order of arrival.
 */
export class CrashEvidence {
  private readonly facts = new Map<string, SequencedFact>();
  private readonly cuts = new Map<Suspect, Map<ServerIncarnation, Cut>>();
  private readonly servedAtMs = new Map<Suspect, number>();
  private sequence = 0;

  constructor(
    private readonly clock: Clock,
    /** Suspects with at least this many cuts are evicted last. */
    private readonly minProtectedCuts: number,
  ) {}

  /** The sequence number of the last fact that was new to this node. */
  get lastSequence(): number {
    return this.sequence;
  }

  get isEmpty(): boolean {
    return this.cuts.size === 0;
  }

  /** The cuts of each suspect that was not served since. */
  get cutsBySuspect(): ReadonlyMap<Suspect, CutsByIncarnation> {
    return this.cuts;
  }

  /** Returns facts after a sequence number, oldest first. */
  listSince(sequence: number, limit: number): SequencedFact[] {
    if (sequence >= this.sequence) return [];
    return [...this.facts.values()]
      .filter(sequenced => sequenced.sequence > sequence)
      .slice(0, limit);
  }

  /** Returns what is known of one suspect. */
  listOf(fingerprint: Suspect): CrashFact[] {
    const cuts = [...(this.cuts.get(fingerprint) ?? [])].map(
      ([serverLife, cut]): CrashFact => ({
        ...{kind: 'cut', fingerprint, serverLife, ...cut},
      }),
    );
    const atMs = this.servedAtMs.get(fingerprint);
    if (atMs === undefined) return cuts;
    return [{kind: 'served', fingerprint, atMs}, ...cuts];
  }

  /** Returns false for a fact that is known, expired or outdated. */
  add(fact: CrashFact): boolean {
    if (this.clock.monotonicMs() - fact.atMs > FACT_MAX_AGE_MS) return false;
    return fact.kind === 'cut' ? this.addCut(fact) : this.addServed(fact);
  }

  expire(): void {
    const oldestMs = this.clock.monotonicMs() - FACT_MAX_AGE_MS;
    this.cuts.forEach((cuts, fingerprint) => {
      if (findLastCutMs(cuts) < oldestMs) this.dropCuts(fingerprint);
    });
    this.servedAtMs.forEach((atMs, fingerprint) => {
      if (atMs < oldestMs) this.dropServed(fingerprint);
    });
  }

  private addCut(fact: Extract<CrashFact, {kind: 'cut'}>): boolean {
    const {fingerprint, serverLife, atMs, isTry} = fact;
    const {recentUses, promptIndex} = fact;
    if (atMs <= (this.servedAtMs.get(fingerprint) ?? -Infinity)) return false;
    const cuts =
      this.cuts.get(fingerprint) ?? new Map<ServerIncarnation, Cut>();
    if (cuts.has(serverLife) || !this.makeRoomForCut(fact)) return false;
    cuts.set(serverLife, {atMs, isTry, recentUses, promptIndex});
    // Moves the suspect to the end, since eviction starts with the first.
    this.cuts.delete(fingerprint);
    this.cuts.set(fingerprint, cuts);
    this.assignSequence(makeCutKey(fingerprint, serverLife), fact);
    if (this.cuts.size > MAX_SUSPECTS) this.evictSuspect();
    return true;
  }

  /** Evicts an older cut of the suspect; false if all are newer. */
  private makeRoomForCut({
    fingerprint,
    atMs,
  }: Extract<CrashFact, {kind: 'cut'}>): boolean {
    const cuts = [...(this.cuts.get(fingerprint) ?? [])];
    const maxCuts = isPartSuspect(fingerprint)
      ? MAX_CUTS_PER_PART
      : MAX_CUTS_PER_REQUEST;
    if (cuts.length < maxCuts) return true;
    const evictable = cuts.filter(([, {isTry}]) => !isTry);
    const [oldest] = (evictable.length > 0 ? evictable : cuts).sort(
      ([, one], [, other]) => one.atMs - other.atMs,
    );
    if (!oldest || oldest[1].atMs >= atMs) return false;
    this.dropCut(fingerprint, oldest[0]);
    return true;
  }

  private addServed(fact: Extract<CrashFact, {kind: 'served'}>): boolean {
    const {fingerprint, atMs} = fact;
    const outdated = [...(this.cuts.get(fingerprint) ?? [])].filter(
      ([, cut]) => cut.atMs <= atMs,
    );
    // The same fact from another node may have a slightly later time.
    if (this.servedAtMs.has(fingerprint) && outdated.length === 0) return false;
    this.dropServed(fingerprint);
    this.servedAtMs.set(fingerprint, atMs);
    this.assignSequence(fingerprint, fact);
    outdated.forEach(([serverLife]) => this.dropCut(fingerprint, serverLife));
    if (this.servedAtMs.size > MAX_SUSPECTS) this.dropOldestServed();
    return true;
  }

  private assignSequence(key: string, fact: CrashFact): void {
    this.sequence += 1;
    this.facts.set(key, {sequence: this.sequence, fact});
  }

  private evictSuspect(): void {
    const [oldest] = this.cuts.keys();
    const fingerprint = this.findOldestUnprotected() ?? oldest;
    if (fingerprint !== undefined) this.dropCuts(fingerprint);
  }

  private findOldestUnprotected(): Suspect | undefined {
    for (const [fingerprint, {size}] of this.cuts) {
      if (size < this.minProtectedCuts) return fingerprint;
    }
    return undefined;
  }

  private dropCuts(fingerprint: Suspect): void {
    const incarnations = [...(this.cuts.get(fingerprint)?.keys() ?? [])];
    incarnations.forEach(serverLife => this.dropCut(fingerprint, serverLife));
  }

  private dropCut(fingerprint: Suspect, serverLife: ServerIncarnation): void {
    const cuts = this.cuts.get(fingerprint);
    cuts?.delete(serverLife);
    if (cuts?.size === 0) this.cuts.delete(fingerprint);
    this.facts.delete(makeCutKey(fingerprint, serverLife));
  }

  private dropOldestServed(): void {
    const [fingerprint] = this.servedAtMs.keys();
    if (fingerprint !== undefined) this.dropServed(fingerprint);
  }

  private dropServed(fingerprint: Suspect): void {
    this.servedAtMs.delete(fingerprint);
    this.facts.delete(fingerprint);
  }
}

export function findLastCutMs(cuts: CutsByIncarnation): number {
  return Math.max(...[...cuts.values()].map(({atMs}) => atMs));
}

function makeCutKey(
  fingerprint: Suspect,
  serverLife: ServerIncarnation,
): string {
  return `${fingerprint} ${serverLife}`;
}
