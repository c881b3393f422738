import {type MetricName} from './catalogue.js';
import {type Metrics} from './metrics.js';

/** One value as `MemoryMetrics` keeps it. */
export interface MetricSample {
  name: MetricName;
  value: number;
  tags: Readonly<Record<string, string>>;
}

/** Keeps every value, so that tests can look at them. */
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

  /** The values of one metric, oldest first. */
  valuesOf(name: MetricName): number[] {
    return this.samples
      .filter(sample => sample.name === name)
      .map(sample => sample.value);
  }
}
