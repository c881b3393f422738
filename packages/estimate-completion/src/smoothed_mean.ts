/** An exponentially weighted mean that begins as the mean of its first samples. */
export class SmoothedMean {
  private mean = 0;
  private samples = 0;

  /** @param minWeight the weight of a sample once there are many. */
  constructor(private readonly minWeight: number) {}

  get count(): number {
    return this.samples;
  }

  /** Null without samples. */
  get value(): number | null {
    return this.samples === 0 ? null : this.mean;
  }

  record(sample: number): void {
    this.samples += 1;
    const weight = Math.max(1 / this.samples, this.minWeight);
    this.mean += (sample - this.mean) * weight;
  }
}
