import {createSocket} from 'node:dgram';
import {readFileSync} from 'node:fs';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
  METRIC_NAMES,
  MemoryMetrics,
  PrometheusMetrics,
  StatsdMetrics,
  formatMetricsAsMarkdown,
} from './index.js';

/** Starts a statsd server on a free port that records received lines. */
async function startServer() {
  const socket = createSocket('udp4');
  const lines: string[] = [];
  const received = new Promise<void>(resolve =>
    socket.on('message', datagram => {
      lines.push(...datagram.toString().trim().split('\n'));
      resolve();
    }),
  );
  await new Promise<void>(resolve => socket.bind(0, '127.0.0.1', resolve));
  const {port} = socket.address();
  const close = () =>
    new Promise<void>(resolve => socket.close(() => resolve()));
  return {port, lines, received, close};
}

function createMetrics(host: string, port: number) {
  const errors: Error[] = [];
  const metrics = new StatsdMetrics({
    host,
    port,
    nodeTags: {node: 'entry-1'},
    onError: error => errors.push(error),
  });
  return {metrics, errors};
}

const metricsSuite = suite('metrics');

metricsSuite('names follow one naming convention', () => {
  METRIC_NAMES.forEach(name => assert.match(name, /^[a-z]+\.[a-z_]+$/));
});

metricsSuite('docs/METRICS.md is current', () => {
  const page = new URL('../../../docs/METRICS.md', import.meta.url);
  assert.fixture(readFileSync(page, 'utf8'), formatMetricsAsMarkdown());
});

metricsSuite(
  'counters, gauges and timings arrive with their tags',
  async () => {
    const server = await startServer();
    const {metrics} = createMetrics('127.0.0.1', server.port);
    metrics.count('loads.finished', {model: 'list-writer'});
    metrics.gauge('fold.next_offset', 17, {});
    metrics.timing('loads.duration', 250, {model: 'list-writer'});
    await metrics.close();
    await server.received;
    await server.close();
    assert.equal(server.lines, [
      'mimosatack.loads.finished:1|c|#node:entry-1,model:list-writer',
      'mimosatack.fold.next_offset:17|g|#node:entry-1',
      'mimosatack.loads.duration:250|ms|#node:entry-1,model:list-writer',
    ]);
  },
);

// Guards against send errors that reach the caller while the server is down.
metricsSuite('an unreachable metrics server causes no errors', async () => {
  const server = await startServer();
  await server.close();
  const {metrics} = createMetrics('127.0.0.1', server.port);
  Array.from({length: 100}, () =>
    metrics.count('fold.void', {reason: 'version-conflict'}),
  );
  await metrics.close();
});

metricsSuite('the memory metrics return the values by name', () => {
  const metrics = new MemoryMetrics();
  metrics.count('fold.void', {reason: 'duplicate'}, 2);
  metrics.gauge('log.reachable', 1, {});
  assert.equal(metrics.valuesOf('fold.void'), [2]);
});

metricsSuite('values are formatted in the Prometheus text format', async () => {
  const metrics = new PrometheusMetrics();
  metrics.count('answers.finished', {result: 'refused', kind: 'overloaded'}, 2);
  metrics.gauge('configuration.version', 7, {});
  metrics.timing('answers.duration', 30, {result: 'answered'});
  const text = await metrics.format();
  [
    'mimosatack_answers_finished{result="refused",kind="overloaded"} 2',
    'mimosatack_configuration_version 7',
    'mimosatack_answers_duration_bucket{le="20",result="answered"} 0',
    'mimosatack_answers_duration_bucket{le="50",result="answered"} 1',
    'mimosatack_answers_duration_sum{result="answered"} 30',
  ].forEach(line => assert.ok(text.includes(`${line}\n`), line));
});

metricsSuite.run();
