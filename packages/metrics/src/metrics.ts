/** The interface for reporting metrics. */
import {type MetricNameOf, type MetricTags} from './catalogue.js';

/** Reports values of the metrics in the catalogue; never throws. */
export interface Metrics {
  count<N extends MetricNameOf<'counter'>>(
    name: N,
    tags: MetricTags<N>,
    increment?: number,
  ): void;
  gauge<N extends MetricNameOf<'gauge'>>(
    name: N,
    value: number,
    tags: MetricTags<N>,
  ): void;
  timing<N extends MetricNameOf<'timing'>>(
    name: N,
    durationMs: number,
    tags: MetricTags<N>,
  ): void;
  /** Sends buffered values and releases resources. */
  close(): Promise<void>;
}
