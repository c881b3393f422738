interface Sample {
  value: number;
  atMs: number;
}

/** Keeps the most recent samples and computes their quantiles. */
export class SampleWindow {
  private samples: Sample[] = [];

  constructor(private readonly maxSamples: number) {}

  get size(): number {
    return this.samples.length;
  }

  get lastAtMs(): number {
    return this.samples.at(-1)?.atMs ?? -Infinity;
  }

  add(value: number, atMs: number): void {
    this.samples.push({value, atMs});
    if (this.samples.length > this.maxSamples) this.samples.shift();
  }

  /** Values of the samples taken at `sinceMs` or later. */
  listSince(sinceMs: number): number[] {
    return this.samples
      .filter(sample => sample.atMs >= sinceMs)
      .map(sample => sample.value);
  }

  /** Returns undefined if there are no samples. */
  quantile(fraction: number): number | undefined {
    return findQuantile(this.listSince(-Infinity), fraction);
  }
}

/** The smallest value that at least `fraction` of the values do not exceed. */
export function findQuantile(
  values: readonly number[],
  fraction: number,
): number | undefined {
  const sorted = values.toSorted((a, b) => a - b);
  const index = Math.ceil(fraction * sorted.length) - 1;
  return sorted[Math.max(0, index)];
}
