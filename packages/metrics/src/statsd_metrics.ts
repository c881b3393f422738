import {type Socket} from 'node:dgram';
import {StatsD} from 'hot-shots';
import {type MetricName} from './catalogue.js';
import {type Metrics} from './metrics.js';

/** Where the metrics go. */
export interface StatsdMetricsOptions {
  host: string;
  port: number;
  /** Tags on every value, such as the node's name. */
  nodeTags: Readonly<Record<string, string>>;
  /** Told of what the client could not send. */
  onError(error: Error): void;
  /** A socket to send with, in place of one of the client's own. */
  socket?: Socket;
}

type Tags = Readonly<Record<string, string>>;

const PREFIX = 'mimosatack.';
/** One datagram that fits any network. */
const MAX_DATAGRAM_BYTES = 1_400;
const FLUSH_INTERVAL_MS = 1_000;

/**
 * Sends metrics to a statsd server by UDP.
 *
 * Guards against a metrics server that is gone or whose name does not
 * resolve: datagrams are sent without waiting, and the client gives its
 * errors to `onError` alone, so nothing that serves requests ever sees them.
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
