/**
 * Measures the overhead of a node between callers and engine stand-ins on
 * loopback: added first-byte time, throughput, and goodput under overload. The
 * node shares its thread with the engines, so its figures include their work.
 */
import {Worker} from 'node:worker_threads';
import {type Histogram, build} from 'hdr-histogram-js';
import {Agent, request} from 'undici';
import {type LoopbackOptions, MODEL, TOKENS} from './loopback_fixture.js';

const FIRST_TOKEN_MS = 40;
const TOKEN_MS = 10;
const MAX_TOKENS = 5;
const MAX_RUNNING = 8;
const ENGINES = 2;
const SECOND_MS = 1_000;
const MEASURE_MS = 5_000;
const WARM_UP_MS = 1_000;
const DEADLINE_MS = 500;
const PROMPT_REFUSAL_MS = 50;
const CONCURRENCY = 64;
const MICROS_PER_MS = 1_000;

interface Urls {
  nodeUrl: string;
  engineUrls: string[];
}

type SendRequest = (
  baseUrl: string,
  isStreamed: boolean,
) => Promise<Measurement>;

interface Measurement {
  statusCode: number;
  firstByteMs: number;
  latencyMs: number;
}

async function withWorker<T>(
  options: LoopbackOptions,
  body: (urls: Urls, sendRequest: SendRequest) => Promise<T>,
): Promise<T> {
  const file = new URL('./loopback_worker_main.js', import.meta.url);
  const worker = new Worker(file, {workerData: options});
  const urls = await new Promise<Urls>((resolve, reject) => {
    worker.once('message', resolve);
    worker.once('error', reject);
  });
  // One agent per worker, because a later worker may reuse the port.
  const agent = new Agent({connections: 2_000, pipelining: 1});
  try {
    return await body(urls, (url, isStreamed) => send(agent, url, isStreamed));
  } finally {
    await agent.destroy();
    await worker.terminate();
  }
}

async function send(
  agent: Agent,
  baseUrl: string,
  isStreamed: boolean,
): Promise<Measurement> {
  const startedAtMs = performance.now();
  const answer = await request(`${baseUrl}/v1/completions`, {
    method: 'POST',
    dispatcher: agent,
    headers: {
      'content-type': 'application/json',
      authorization: `Bearer ${TOKENS.alpha}`,
      'x-request-timeout-ms': String(DEADLINE_MS),
    },
    body: JSON.stringify({
      model: MODEL,
      prompt: 'draft the list for this week',
      max_tokens: MAX_TOKENS,
      stream: isStreamed,
    }),
  });
  let firstByteMs = 0;
  for await (const _chunk of answer.body) {
    firstByteMs ||= performance.now() - startedAtMs;
  }
  const latencyMs = performance.now() - startedAtMs;
  return {statusCode: answer.statusCode, firstByteMs, latencyMs};
}

/** Sends requests as a Poisson process, independent of earlier responses. */
async function sendAtRate(
  perSecond: number,
  sendRequest: () => Promise<Measurement>,
): Promise<Measurement[]> {
  const startedAtMs = performance.now();
  const measurements: Promise<Measurement>[] = [];
  let dueMs = 0;
  while (dueMs < WARM_UP_MS + MEASURE_MS) {
    dueMs += (-Math.log(1 - Math.random()) * SECOND_MS) / perSecond;
    const waitMs = startedAtMs + dueMs - performance.now();
    if (waitMs > 1) await new Promise(resolve => setTimeout(resolve, waitMs));
    const measurement = sendRequest();
    if (dueMs >= WARM_UP_MS) measurements.push(measurement);
    else void measurement;
  }
  return Promise.all(measurements);
}

function histogramOf(valuesMs: readonly number[]): Histogram {
  const histogram = build({numberOfSignificantValueDigits: 3});
  valuesMs.forEach(ms => histogram.recordValue(Math.round(ms * MICROS_PER_MS)));
  return histogram;
}

function percentileMs(histogram: Histogram, rank: number): number {
  return histogram.getValueAtPercentile(rank) / MICROS_PER_MS;
}

const ENGINE = {
  maxRunning: MAX_RUNNING,
  firstTokenMs: FIRST_TOKEN_MS,
  tokenMs: TOKEN_MS,
  loadReportLagMs: 200,
};
const LOADED: LoopbackOptions = {
  engines: Array.from({length: ENGINES}, () => ENGINE),
  reportIntervalMs: 200,
};

async function measureFirstByte(capacity: number, share: number) {
  return withWorker(LOADED, async ({nodeUrl, engineUrls}, sendRequest) => {
    let turn = 0;
    const nextEngine = () => engineUrls[turn++ % ENGINES] ?? '';
    const perSecond = capacity * share;
    const direct = await sendAtRate(perSecond, () =>
      sendRequest(nextEngine(), true),
    );
    const through = await sendAtRate(perSecond, () =>
      sendRequest(nodeUrl, true),
    );
    const directMs = histogramOf(
      direct.map(measurement => measurement.firstByteMs),
    );
    const throughMs = histogramOf(
      through.map(measurement => measurement.firstByteMs),
    );
    const addedMs = (rank: number) =>
      (percentileMs(throughMs, rank) - percentileMs(directMs, rank)).toFixed(2);
    return {
      share,
      directP50Ms: percentileMs(directMs, 50),
      directP99Ms: percentileMs(directMs, 99),
      addedP50Ms: addedMs(50),
      addedP99Ms: addedMs(99),
      notAnswered: through.filter(seen => seen.statusCode !== 200).length,
      requests: through.length,
    };
  });
}

async function measureOverload(capacity: number, share: number) {
  return withWorker(LOADED, async ({nodeUrl}, sendRequest) => {
    const measurements = await sendAtRate(capacity * share, () =>
      sendRequest(nodeUrl, false),
    );
    const inTime = measurements.filter(
      measurement =>
        measurement.statusCode === 200 && measurement.latencyMs <= DEADLINE_MS,
    );
    const refused = measurements.filter(
      measurement => measurement.statusCode !== 200,
    );
    const refusedMs = histogramOf(
      refused.map(measurement => measurement.latencyMs),
    );
    return {
      share,
      offeredPerS: Math.round((measurements.length * SECOND_MS) / MEASURE_MS),
      inTimePerS: Math.round((inTime.length * SECOND_MS) / MEASURE_MS),
      late: measurements.length - inTime.length - refused.length,
      refused: refused.length,
      refusedLate: refused.filter(
        measurement => measurement.latencyMs > PROMPT_REFUSAL_MS,
      ).length,
      refusedP99Ms: percentileMs(refusedMs, 99),
    };
  });
}

/** Measures requests per second with `concurrency` callers in a closed loop. */
async function measureThroughput(
  target: 'node' | 'engines',
  options: LoopbackOptions,
  concurrency: number,
) {
  return withWorker(options, async ({nodeUrl, engineUrls}, sendRequest) => {
    const urls = target === 'node' ? [nodeUrl] : engineUrls;
    const endMs = performance.now() + MEASURE_MS;
    let answered = 0;
    const loop = async (caller: number) => {
      while (performance.now() < endMs) {
        const url = urls[caller % urls.length] ?? '';
        const {statusCode} = await sendRequest(url, false);
        if (statusCode === 200) answered += 1;
      }
    };
    await Promise.all(Array.from({length: concurrency}, (_, i) => loop(i)));
    const answeredPerS = Math.round((answered * SECOND_MS) / MEASURE_MS);
    return {target, answeredPerS};
  });
}

const {answeredPerS: capacity} = await measureThroughput(
  'engines',
  LOADED,
  ENGINES * MAX_RUNNING,
);
console.log(`Engine capacity: ${capacity} requests per second.`);
console.table([
  await measureFirstByte(capacity, 0.1),
  await measureFirstByte(capacity, 0.5),
  await measureFirstByte(capacity, 0.9),
]);
console.table([
  await measureOverload(capacity, 1),
  await measureOverload(capacity, 2),
]);
const unlimited = {engines: [{maxRunning: 1_000, loadReportLagMs: 0}]};
console.table([
  await measureThroughput('engines', unlimited, CONCURRENCY),
  await measureThroughput('node', unlimited, CONCURRENCY),
]);
