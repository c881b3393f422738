/** The most recent of a series of measurements, in bounded memory. */

/** One measurement. */
interface Sample {
  value: number;
  atMs: number;
}

/** Keeps the last samples and gives quantiles of them. */
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

  /** The samples that were taken at `sinceMs` or later. */
  listSince(sinceMs: number): number[] {
    return this.samples
      .filter(sample => sample.atMs >= sinceMs)
      .map(sample => sample.value);
  }

  /** Undefined when there is no sample. */
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
