import {Counter, Gauge, Histogram, Registry} from 'prom-client';
import {
  METRIC_CATALOGUE,
  METRIC_NAMES,
  type MetricDefinition,
  type MetricName,
} from './catalogue.js';
import {type Metrics} from './metrics.js';

type Tags = Readonly<Record<string, string>>;

const PREFIX = 'mimosatack_';
/**
 * Upper bounds of histogram buckets: plain responses take 20 to 200 ms, first
 * tokens up to 2,500 ms, and callers wait for 25,000 ms at most.
 */
const BUCKETS_MS = [
  5, 10, 20, 50, 100, 200, 400, 800, 1_500, 2_500, 5_000, 10_000, 25_000,
];

/** Keeps metrics in a registry for scraping by Prometheus. */
export class PrometheusMetrics implements Metrics {
  private readonly registry = new Registry();
  private readonly counters = new Map<MetricName, Counter>();
  private readonly gauges = new Map<MetricName, Gauge>();
  private readonly histograms = new Map<MetricName, Histogram>();

  constructor(names: readonly MetricName[] = METRIC_NAMES) {
    names.forEach(name => this.register(name));
  }

  count(name: MetricName, tags: Tags, increment = 1): void {
    this.counters.get(name)?.inc({...tags}, increment);
  }

  gauge(name: MetricName, value: number, tags: Tags): void {
    this.gauges.get(name)?.set({...tags}, value);
  }

  timing(name: MetricName, durationMs: number, tags: Tags): void {
    this.histograms.get(name)?.observe({...tags}, durationMs);
  }

  /** Formats all metrics in the Prometheus text format. */
  format(): Promise<string> {
    return this.registry.metrics();
  }

  close(): Promise<void> {
    this.registry.clear();
    return Promise.resolve();
  }

  private register(name: MetricName): void {
    const {type, description, tags}: MetricDefinition = METRIC_CATALOGUE[name];
    const options = {
      name: PREFIX + name.replace('.', '_'),
      help: description,
      labelNames: Object.keys(tags),
      registers: [this.registry],
    };
    switch (type) {
      case 'counter':
        this.counters.set(name, new Counter(options));
        return;
      case 'gauge':
        this.gauges.set(name, new Gauge(options));
        return;
      case 'timing':
        this.histograms.set(
          name,
          new Histogram({...options, buckets: BUCKETS_MS}),
        );
    }
  }
}
