/** Renders the catalogue for operators. */
import {
  METRIC_CATALOGUE,
  METRIC_NAMES,
  type MetricDefinition,
  type MetricName,
} from './catalogue.js';

const INTRODUCTION = `# Metrics

Each node sends these metrics by UDP to the statsd server that
\`--statsd-host\` and \`--statsd-port\` name; without a host it sends none. Every
name begins with \`mimosatack.\`, and every value carries the tags \`node\`,
\`region\` and \`failure_domain\`. Timings are in milliseconds.

This page is written by \`npm run docs:metrics\`; change
\`packages/metrics/src/catalogue.ts\` instead.`;

/** The text of docs/METRICS.md. */
export function formatMetricsAsMarkdown(): string {
  return [INTRODUCTION, ...METRIC_NAMES.map(formatMetric)].join('\n\n') + '\n';
}

function formatMetric(name: MetricName): string {
  const {type, description, tags}: MetricDefinition = METRIC_CATALOGUE[name];
  const items = Object.entries(tags).map(
    ([tag, meaning]) => `- \`${tag}\`: ${meaning}`,
  );
  const paragraphs = [
    `## ${name}`,
    `${capitalize(type)}. ${description}`,
    ...(items.length === 0 ? [] : [items.join('\n')]),
  ];
  return paragraphs.join('\n\n');
}

function capitalize(text: string): string {
  return text.charAt(0).toUpperCase() + text.slice(1);
}
