/**
 * Prints what a node costs between callers and engine stand-ins on loopback:
 * first-byte time added, requests a second, and goodput under overload. The
 * node and the engines share one thread, the callers have another, so the
 * figures for the node include the engines' share of its thread.
 */
import {Worker} from 'node:worker_threads';
import {type Histogram, build} from 'hdr-histogram-js';
import {Agent, request} from 'undici';
import {type LoopbackOptions, MODEL, TOKENS} from './loopback_fixture.js';

const FIRST_TOKEN_MS = 40;
const TOKEN_MS = 10;
const TOKENS_EACH = 5;
const PLACES = 8;
const ENGINES = 2;
const SECOND_MS = 1_000;
const MEASURE_MS = 5_000;
const WARM_UP_MS = 1_000;
const DEADLINE_MS = 500;
const PROMPT_REFUSAL_MS = 50;
const CONCURRENCY = 64;
const MICROS = 1_000;

interface Urls {
  nodeUrl: string;
  engineUrls: string[];
}

type Ask = (baseUrl: string, isStreamed: boolean) => Promise<Seen>;

interface Seen {
  statusCode: number;
  firstByteMs: number;
  tookMs: number;
}

async function withWorker<T>(
  options: LoopbackOptions,
  body: (urls: Urls, ask: Ask) => Promise<T>,
): Promise<T> {
  const file = new URL('./loopback_worker_main.js', import.meta.url);
  const worker = new Worker(file, {workerData: options});
  const urls = await new Promise<Urls>((resolve, reject) => {
    worker.once('message', resolve);
    worker.once('error', reject);
  });
  // Of its own for each worker: a later one may listen on the same port.
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
): Promise<Seen> {
  const beganMs = performance.now();
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
      max_tokens: TOKENS_EACH,
      stream: isStreamed,
    }),
  });
  let firstByteMs = 0;
  for await (const _chunk of answer.body) {
    firstByteMs ||= performance.now() - beganMs;
  }
  const tookMs = performance.now() - beganMs;
  return {statusCode: answer.statusCode, firstByteMs, tookMs};
}

/** Sends requests at random times, whether or not earlier ones are done. */
async function sendAtRate(
  perSecond: number,
  sendOne: () => Promise<Seen>,
): Promise<Seen[]> {
  const beganMs = performance.now();
  const sent: Promise<Seen>[] = [];
  let dueMs = 0;
  while (dueMs < WARM_UP_MS + MEASURE_MS) {
    dueMs += (-Math.log(1 - Math.random()) * SECOND_MS) / perSecond;
    const waitMs = beganMs + dueMs - performance.now();
    if (waitMs > 1) await new Promise(resolve => setTimeout(resolve, waitMs));
    const seen = sendOne();
    if (dueMs >= WARM_UP_MS) sent.push(seen);
    else void seen;
  }
  return Promise.all(sent);
}

function histogramOf(valuesMs: readonly number[]): Histogram {
  const histogram = build({numberOfSignificantValueDigits: 3});
  valuesMs.forEach(ms => histogram.recordValue(Math.round(ms * MICROS)));
  return histogram;
}

function readMs(histogram: Histogram, rank: number): number {
  return histogram.getValueAtPercentile(rank) / MICROS;
}

const ENGINE = {
  maxRunning: PLACES,
  firstTokenMs: FIRST_TOKEN_MS,
  tokenMs: TOKEN_MS,
  loadReportLagMs: 200,
};
const LOADED: LoopbackOptions = {
  engines: Array.from({length: ENGINES}, () => ENGINE),
  reportIntervalMs: 200,
};

async function measureFirstByte(capacity: number, share: number) {
  return withWorker(LOADED, async ({nodeUrl, engineUrls}, ask) => {
    let turn = 0;
    const nextEngine = () => engineUrls[turn++ % ENGINES] ?? '';
    const perSecond = capacity * share;
    const direct = await sendAtRate(perSecond, () => ask(nextEngine(), true));
    const through = await sendAtRate(perSecond, () => ask(nodeUrl, true));
    const directMs = histogramOf(direct.map(seen => seen.firstByteMs));
    const throughMs = histogramOf(through.map(seen => seen.firstByteMs));
    const addedMs = (rank: number) =>
      (readMs(throughMs, rank) - readMs(directMs, rank)).toFixed(2);
    return {
      share,
      directP50Ms: readMs(directMs, 50),
      directP99Ms: readMs(directMs, 99),
      addedP50Ms: addedMs(50),
      addedP99Ms: addedMs(99),
      notAnswered: through.filter(seen => seen.statusCode !== 200).length,
      requests: through.length,
    };
  });
}

async function measureOverload(capacity: number, share: number) {
  return withWorker(LOADED, async ({nodeUrl}, ask) => {
    const seen = await sendAtRate(capacity * share, () => ask(nodeUrl, false));
    const inTime = seen.filter(
      one => one.statusCode === 200 && one.tookMs <= DEADLINE_MS,
    );
    const refused = seen.filter(one => one.statusCode !== 200);
    const refusedMs = histogramOf(refused.map(one => one.tookMs));
    return {
      share,
      offeredPerS: Math.round((seen.length * SECOND_MS) / MEASURE_MS),
      inTimePerS: Math.round((inTime.length * SECOND_MS) / MEASURE_MS),
      late: seen.length - inTime.length - refused.length,
      refused: refused.length,
      refusedLate: refused.filter(one => one.tookMs > PROMPT_REFUSAL_MS).length,
      refusedP99Ms: readMs(refusedMs, 99),
    };
  });
}

/** Answers a second while `concurrency` callers ask without a pause. */
async function measureThroughput(
  target: 'node' | 'engines',
  options: LoopbackOptions,
  concurrency: number,
) {
  return withWorker(options, async ({nodeUrl, engineUrls}, ask) => {
    const urls = target === 'node' ? [nodeUrl] : engineUrls;
    const endMs = performance.now() + MEASURE_MS;
    let answered = 0;
    const loop = async (caller: number) => {
      while (performance.now() < endMs) {
        const url = urls[caller % urls.length] ?? '';
        const {statusCode} = await ask(url, false);
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
  ENGINES * PLACES,
);
console.log(`The engines bear ${capacity} requests a second.`);
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
