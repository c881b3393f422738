import {type Metrics} from './metrics.js';

/** Discards all values; used by nodes without a metrics server. */
export class NoopMetrics implements Metrics {
  count(): void {}
  gauge(): void {}
  timing(): void {}
  close(): Promise<void> {
    return Promise.resolve();
  }
}
