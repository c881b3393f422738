/** What is known of servers that ended under requests. */
import {type Clock} from '@mimosatack/clock';
import {type RequestFingerprint} from '@mimosatack/types';

/** One life of a server: another one begins when it starts again. */
export type ServerLife = string;

/** Something that a node has seen; times are on the own monotonic clock. */
export type CrashFact =
  /** A server's connection was cut while it had the request. */
  | {
      kind: 'cut';
      fingerprint: RequestFingerprint;
      serverLife: ServerLife;
      atMs: number;
      /** It was contained and tried once more. */
      isTry: boolean;
    }
  /** A server has answered it whole, so that it crashes none. */
  | {kind: 'served'; fingerprint: RequestFingerprint; atMs: number};

/** One cut of a request. */
export type Cut = Pick<Extract<CrashFact, {kind: 'cut'}>, 'atMs' | 'isTry'>;

/** At which lives of servers a request was cut. */
export type CutsByLife = ReadonlyMap<ServerLife, Cut>;

/**
 * Requests that are remembered. Beyond it the oldest go first of those that are
 * short of being contained, so that any number of other bodies pushes out none
 * of the known ones.
 */
const MAX_REQUESTS = 2_000;
/** Lives kept of each request: the newest, and those that tries ended. */
const MAX_LIVES = 8;
/** What is older is forgotten. */
const MEMORY_MS = 24 * 3_600_000;

interface NumberedFact {
  sequence: number;
  fact: CrashFact;
}

/**
 * A set of facts that only grows by merging: the same fact from two nodes
 * counts once, in whichever order they come.
 */
export class CrashEvidence {
  private readonly facts = new Map<string, NumberedFact>();
  private readonly cuts = new Map<RequestFingerprint, Map<ServerLife, Cut>>();
  private readonly servedAtMs = new Map<RequestFingerprint, number>();
  private sequence = 0;

  constructor(
    private readonly clock: Clock,
    /** From how many cuts on a request is kept rather than others. */
    private readonly keptFromCuts: number,
  ) {}

  /** Grows with every fact that is new here. */
  get lastSequence(): number {
    return this.sequence;
  }

  get isEmpty(): boolean {
    return this.cuts.size === 0;
  }

  /** The requests that were cut and not served since. */
  get byRequest(): ReadonlyMap<RequestFingerprint, CutsByLife> {
    return this.cuts;
  }

  /** The newest facts after a number, oldest first. */
  listSince(sequence: number, limit: number): NumberedFact[] {
    if (sequence >= this.sequence) return [];
    return [...this.facts.values()]
      .filter(numbered => numbered.sequence > sequence)
      .slice(0, limit);
  }

  /** False for what is known, or refuted by what is known. */
  add(fact: CrashFact): boolean {
    if (this.clock.monotonicMs() - fact.atMs > MEMORY_MS) return false;
    return fact.kind === 'cut' ? this.addCut(fact) : this.addServed(fact);
  }

  /** Drops what is too old to tell anything. */
  expire(): void {
    const oldestMs = this.clock.monotonicMs() - MEMORY_MS;
    this.cuts.forEach((lives, fingerprint) => {
      if (findNewestMs(lives) < oldestMs) this.dropCuts(fingerprint);
    });
    this.servedAtMs.forEach((atMs, fingerprint) => {
      if (atMs < oldestMs) this.dropServed(fingerprint);
    });
  }

  private addCut(fact: Extract<CrashFact, {kind: 'cut'}>): boolean {
    const {fingerprint, serverLife, atMs, isTry} = fact;
    if (atMs <= (this.servedAtMs.get(fingerprint) ?? -Infinity)) return false;
    const lives = this.cuts.get(fingerprint) ?? new Map<ServerLife, Cut>();
    if (lives.has(serverLife) || !this.hasPlace(fact)) return false;
    lives.set(serverLife, {atMs, isTry});
    // Put last, as the one that was cut most lately.
    this.cuts.delete(fingerprint);
    this.cuts.set(fingerprint, lives);
    this.number(makeCutKey(fingerprint, serverLife), fact);
    if (this.cuts.size > MAX_REQUESTS) this.makeRoom();
    return true;
  }

  /** Makes room among the lives of a request for one that is newer. */
  private hasPlace({
    fingerprint,
    atMs,
  }: Extract<CrashFact, {kind: 'cut'}>): boolean {
    const lives = [...(this.cuts.get(fingerprint) ?? [])];
    if (lives.length < MAX_LIVES) return true;
    const slight = lives.filter(([, {isTry}]) => !isTry);
    const [oldest] = (slight.length > 0 ? slight : lives).sort(
      ([, one], [, other]) => one.atMs - other.atMs,
    );
    if (!oldest || oldest[1].atMs >= atMs) return false;
    this.dropCut(fingerprint, oldest[0]);
    return true;
  }

  private addServed(fact: Extract<CrashFact, {kind: 'served'}>): boolean {
    const {fingerprint, atMs} = fact;
    const refuted = [...(this.cuts.get(fingerprint) ?? [])].filter(
      ([, cut]) => cut.atMs <= atMs,
    );
    // A fact that comes back from another node looks a little younger.
    if (this.servedAtMs.has(fingerprint) && refuted.length === 0) return false;
    this.dropServed(fingerprint);
    this.servedAtMs.set(fingerprint, atMs);
    this.number(fingerprint, fact);
    refuted.forEach(([life]) => this.dropCut(fingerprint, life));
    if (this.servedAtMs.size > MAX_REQUESTS) this.dropOldestServed();
    return true;
  }

  private number(key: string, fact: CrashFact): void {
    this.sequence += 1;
    this.facts.set(key, {sequence: this.sequence, fact});
  }

  private makeRoom(): void {
    const [oldest] = this.cuts.keys();
    const fingerprint = this.findOldestSlight() ?? oldest;
    if (fingerprint !== undefined) this.dropCuts(fingerprint);
  }

  /** Looks no further than it has to. */
  private findOldestSlight(): RequestFingerprint | undefined {
    for (const [fingerprint, {size}] of this.cuts) {
      if (size < this.keptFromCuts) return fingerprint;
    }
    return undefined;
  }

  private dropCuts(fingerprint: RequestFingerprint): void {
    const lives = [...(this.cuts.get(fingerprint)?.keys() ?? [])];
    lives.forEach(serverLife => this.dropCut(fingerprint, serverLife));
  }

  private dropCut(
    fingerprint: RequestFingerprint,
    serverLife: ServerLife,
  ): void {
    const lives = this.cuts.get(fingerprint);
    lives?.delete(serverLife);
    if (lives?.size === 0) this.cuts.delete(fingerprint);
    this.facts.delete(makeCutKey(fingerprint, serverLife));
  }

  private dropOldestServed(): void {
    const [fingerprint] = this.servedAtMs.keys();
    if (fingerprint !== undefined) this.dropServed(fingerprint);
  }

  private dropServed(fingerprint: RequestFingerprint): void {
    this.servedAtMs.delete(fingerprint);
    this.facts.delete(fingerprint);
  }
}

/** When a request was cut last. */
export function findNewestMs(cuts: CutsByLife): number {
  return Math.max(...[...cuts.values()].map(({atMs}) => atMs));
}

function makeCutKey(
  fingerprint: RequestFingerprint,
  serverLife: ServerLife,
): string {
  return `${fingerprint} ${serverLife}`;
}
