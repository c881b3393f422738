import {type Socket} from 'node:dgram';
import {StatsD} from 'hot-shots';
import {type MetricName} from './catalogue.js';
import {type Metrics} from './metrics.js';

export interface StatsdMetricsOptions {
  host: string;
  port: number;
  /** Tags of every value, such as the node's name. */
  nodeTags: Readonly<Record<string, string>>;
  /** Called when the client fails to send metrics. */
  onError(error: Error): void;
  /** Replaces the socket that the client creates by default. */
  socket?: Socket;
}

type Tags = Readonly<Record<string, string>>;

const PREFIX = 'mimosatack.';
/** Fits into the MTU of common networks without fragmentation. */
const MAX_DATAGRAM_BYTES = 1_400;
const FLUSH_INTERVAL_MS = 1_000;

/**
 * Sends metrics to a statsd server by UDP.
 *
 * Guards against a metrics server that is down or whose name does not resolve:
 * send errors are passed to `onError` and never to the code that reports.
 */
export class StatsdMetrics implements Metrics {
  private readonly client: StatsD;

  constructor(options: StatsdMetricsOptions) {
    this.client = new StatsD({
      host: options.host,
      port: options.port,
      prefix: PREFIX,
      globalTags: {...options.nodeTags},
      cacheDns: true,
      maxBufferSize: MAX_DATAGRAM_BYTES,
      bufferFlushInterval: FLUSH_INTERVAL_MS,
      includeDataDogTags: false,
      errorHandler: error => options.onError(error),
      socket: options.socket,
    });
  }

  count(name: MetricName, tags: Tags, increment = 1): void {
    this.client.increment(name, increment, {...tags});
  }

  gauge(name: MetricName, value: number, tags: Tags): void {
    this.client.gauge(name, value, {...tags});
  }

  timing(name: MetricName, durationMs: number, tags: Tags): void {
    this.client.timing(name, durationMs, {...tags});
  }

  close(): Promise<void> {
    return new Promise(resolve => this.client.close(() => resolve()));
  }
}
