export {
  METRIC_CATALOGUE,
  METRIC_NAMES,
  type MetricDefinition,
  type MetricName,
  type MetricNameOf,
  type MetricTags,
  type MetricType,
} from './catalogue.js';
export {formatMetricsAsMarkdown} from './catalogue_markdown.js';
export {MemoryMetrics, type MetricSample} from './memory_metrics.js';
export {type Metrics} from './metrics.js';
export {PrometheusMetrics} from './prometheus_metrics.js';
export {NoopMetrics} from './no_metrics.js';
export {StatsdMetrics, type StatsdMetricsOptions} from './statsd_metrics.js';
