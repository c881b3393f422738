/** Tells operators of models and adapters that callers ask for again and again in vain. */

/** A model, or one of its adapters. */
export interface NamedWeights {
  model: string;
  adapter: string | null;
}

export interface UnservedModel extends NamedWeights {
  /** Requests that were refused since the last assignment. */
  refusals: number;
  unservedMs: number;
  /** Why the last request was refused. */
  reason: string;
}

interface Refusals {
  count: number;
  sinceMs: number;
  lastMs: number;
  isTold: boolean;
}

const MIN_REFUSALS = 4;
const MIN_UNSERVED_MS = 8_000;
/** Refusals that are older say nothing of the demand of now. */
const MAX_QUIET_MS = 60_000;
/** Names of models come from callers, so their number has to be bounded. */
const MAX_TRACKED = 4_096;

export class UnservedModels {
  private readonly refusals = new Map<string, Refusals>();

  /** The models and adapters that count as unserved. */
  get count(): number {
    return [...this.refusals.values()].filter(({isTold}) => isTold).length;
  }

  recordAssigned(weights: NamedWeights): void {
    this.refusals.delete(findKey(weights));
  }

  /** Returns what to tell of weights that have become unserved; once until they are served. */
  recordRefused(
    weights: NamedWeights,
    reason: string,
    nowMs: number,
  ): UnservedModel | null {
    const key = findKey(weights);
    const known = this.findRecent(key, nowMs);
    if (!known && this.refusals.size >= MAX_TRACKED) this.prune(nowMs);
    const {sinceMs = nowMs, count = 0, isTold = false} = known ?? {};
    const unservedMs = nowMs - sinceMs;
    const isUnserved =
      count + 1 >= MIN_REFUSALS && unservedMs >= MIN_UNSERVED_MS;
    if (known || this.refusals.size < MAX_TRACKED) {
      this.refusals.set(key, {
        ...{count: count + 1, sinceMs, lastMs: nowMs},
        isTold: isTold || isUnserved,
      });
    }
    if (!isUnserved || isTold) return null;
    return {...weights, refusals: count + 1, unservedMs, reason};
  }

  private findRecent(key: string, nowMs: number): Refusals | undefined {
    const known = this.refusals.get(key);
    return known && nowMs - known.lastMs <= MAX_QUIET_MS ? known : undefined;
  }

  private prune(nowMs: number): void {
    [...this.refusals.keys()]
      .filter(key => !this.findRecent(key, nowMs))
      .forEach(key => this.refusals.delete(key));
  }
}

function findKey({model, adapter}: NamedWeights): string {
  return `${model}/${adapter ?? ''}`;
}
