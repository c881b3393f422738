import {type MetricName} from './catalogue.js';
import {type Metrics} from './metrics.js';

export interface MetricSample {
  name: MetricName;
  value: number;
  tags: Readonly<Record<string, string>>;
}

/** Keeps all values in memory for assertions in tests. */
export class MemoryMetrics implements Metrics {
  readonly samples: MetricSample[] = [];

  count(
    name: MetricName,
    tags: Readonly<Record<string, string>>,
    increment = 1,
  ): void {
    this.samples.push({name, value: increment, tags});
  }

  gauge(
    name: MetricName,
    value: number,
    tags: Readonly<Record<string, string>>,
  ): void {
    this.samples.push({name, value, tags});
  }

  timing(
    name: MetricName,
    durationMs: number,
    tags: Readonly<Record<string, string>>,
  ): void {
    this.samples.push({name, value: durationMs, tags});
  }

  close(): Promise<void> {
    return Promise.resolve();
  }

  /** Returns the values of a metric, oldest first. */
  valuesOf(name: MetricName): number[] {
    return this.samples
      .filter(sample => sample.name === name)
      .map(sample => sample.value);
  }
}
