/** Renders the metrics catalogue as Markdown. */
import {
  METRIC_CATALOGUE,
  METRIC_NAMES,
  type MetricDefinition,
  type MetricName,
} from './catalogue.js';

const INTRODUCTION = `# Metrics

On the users' platform each node serves these metrics at the port that
\`MIMOSATACK_METRICS_PORT\` names, under \`/metrics\`: names begin with
\`mimosatack_\` and have underscores in place of dots, and timings are
histograms in milliseconds. Elsewhere a node sends them by UDP to the statsd
server that \`--statsd-host\` and \`--statsd-port\` name, under names that begin
with \`mimosatack.\` and with the tags \`node\`, \`region\` and
\`failure_domain\`. Both forms come from one catalogue; each program gives
values for the metrics of what it does.

This page is written by \`npm run docs:metrics\`; change
\`packages/metrics/src/catalogue.ts\` instead.`;

/** The text of docs/METRICS.md. */
export function formatMetricsAsMarkdown(): string {
  return [INTRODUCTION, ...METRIC_NAMES.map(formatMetric)].join('\n\n') + '\n';
}

function formatMetric(name: MetricName): string {
  const {type, description, tags}: MetricDefinition = METRIC_CATALOGUE[name];
  const items = Object.entries(tags).map(
    ([tag, tagDescription]) => `- \`${tag}\`: ${tagDescription}`,
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
