/**
 * Measures memory per remembered key, and throughput and latency of claims.
 * The log service stand-in runs in this process, so that the CPU figures
 * include it.
 */
import {randomBytes} from 'node:crypto';
import {ClaimKeys} from '@mimosatack/claim-keys';
import {type Clock, SystemClock, sleep} from '@mimosatack/clock';
import {HttpLogService} from '@mimosatack/platform';
import {SeededRandom} from '@mimosatack/random';
import {startPlatformStandIn} from '@mimosatack/stand-ins';
import {
  type KeptAnswer,
  TicketTable,
  generationAt,
  hashKey,
} from '@mimosatack/unrepeatable';
import {makeUuidV7} from './dated_keys.js';

const KEY_COUNT = 100_000;
const ANSWER_BYTES = 64;
const CLAIM_RATES_PER_S = [1, 10, 100, 1_000, 4_000];
const MEASUREMENT_MS = 5_000;
const CLAIM_TIMEOUT_MS = 5_000;
const LOAD_LOOP_INTERVAL_MS = 5;
const MS_PER_S = 1_000;

/** The results at one rate of claims. */
interface ClaimMeasurement {
  claimsPerS: number;
  granted: number;
  refused: number;
  appendsPerS: string;
  recordsPerAppend: string;
  p50Ms: string;
  p99Ms: string;
  /** CPU use of this process, including the log service stand-in. */
  cpuPercent: string;
}

async function main(): Promise<void> {
  const clock = new SystemClock();
  console.log('Memory per remembered key');
  console.table([
    await measureTickets(clock, null),
    await measureTickets(clock, ANSWER_BYTES),
    await measureClaims(clock),
  ]);
  console.log('Claims: 16 partitions, 50 ms between appends to a partition');
  const rows: ClaimMeasurement[] = [];
  for (const claimsPerS of CLAIM_RATES_PER_S) {
    rows.push(await measureLoad(clock, claimsPerS));
  }
  console.table(rows);
}

async function measureTickets(clock: Clock, answerBytes: number | null) {
  const table = new TicketTable({clock});
  const before = measureHeapBytes();
  const generation = generationAt(clock.wallMs());
  const indexes = Array.from({length: KEY_COUNT}, (_, index) => index);
  const startedMs = clock.monotonicMs();
  for (const index of indexes) {
    await table.runOnce(
      {
        keyHash: hashKey('team', String(index)),
        requestHash: hashKey('request', String(index)),
        generation,
        expiresAtMs: clock.monotonicMs() + CLAIM_TIMEOUT_MS,
      },
      () => Promise.resolve(makeAnswer(answerBytes)),
    );
  }
  const durationMs = clock.monotonicMs() - startedMs;
  await sleep(clock, 1);
  const bytes = measureHeapBytes() - before;
  return {
    what: `ticket, answer of ${answerBytes ?? 0} bytes`,
    keys: table.size,
    bytesPerKey: Math.round(bytes / KEY_COUNT),
    microsPerKey: ((durationMs * MS_PER_S) / KEY_COUNT).toFixed(1),
  };
}

async function measureClaims(clock: Clock) {
  const platform = await startPlatformStandIn();
  const {claims, log} = startClaims(clock, platform.baseUrl, 1);
  await claimNewKey(claims, clock);
  const before = measureHeapBytes() - countLogBytes(platform);
  const indexes = Array.from({length: KEY_COUNT / 10}, (_, index) => index);
  await Promise.all(indexes.map(() => claimNewKey(claims, clock)));
  await sleep(clock, MS_PER_S);
  const bytes = measureHeapBytes() - countLogBytes(platform) - before;
  await claims.stop(0);
  await log.close();
  await platform.close();
  return {
    what: 'claim with its outcome',
    keys: indexes.length,
    bytesPerKey: Math.round(bytes / indexes.length),
    microsPerKey: '-',
  };
}

/** Bytes of the stream that the stand-in holds in this process's memory. */
function countLogBytes(
  platform: Awaited<ReturnType<typeof startPlatformStandIn>>,
): number {
  return platform.core.log
    .readHistory('claims-0')
    .map(record => record.data.byteLength)
    .reduce((sum, bytes) => sum + bytes, 0);
}

async function measureLoad(
  clock: Clock,
  claimsPerS: number,
): Promise<ClaimMeasurement> {
  const platform = await startPlatformStandIn();
  const {claims, log} = startClaims(clock, platform.baseUrl);
  await warmUp(claims, clock);
  const before = sumCounters(claims);
  const cpuBefore = process.cpuUsage();
  const results = await runLoad(claims, clock, claimsPerS);
  const cpu = process.cpuUsage(cpuBefore);
  const after = sumCounters(claims);
  await claims.stop(0);
  await log.close();
  await platform.close();
  const latencies = results
    .filter(result => result !== null)
    .sort((first, second) => first - second);
  const appends = after.appends - before.appends;
  return {
    claimsPerS,
    granted: latencies.length,
    refused: results.length - latencies.length,
    appendsPerS: ((appends * MS_PER_S) / MEASUREMENT_MS).toFixed(1),
    recordsPerAppend: ((after.records - before.records) / appends).toFixed(1),
    p50Ms: pickQuantile(latencies, 0.5),
    p99Ms: pickQuantile(latencies, 0.99),
    cpuPercent: ((cpu.user + cpu.system) / MEASUREMENT_MS / 10).toFixed(1),
  };
}

async function runLoad(
  claims: ClaimKeys,
  clock: Clock,
  claimsPerS: number,
): Promise<Array<number | null>> {
  const startedMs = clock.monotonicMs();
  const pending: Array<Promise<number | null>> = [];
  let elapsedMs = 0;
  while (elapsedMs < MEASUREMENT_MS) {
    const due = Math.floor((elapsedMs * claimsPerS) / MS_PER_S) + 1;
    while (pending.length < due) pending.push(claimNewKey(claims, clock));
    await sleep(clock, LOAD_LOOP_INTERVAL_MS);
    elapsedMs = clock.monotonicMs() - startedMs;
  }
  return Promise.all(pending);
}

async function warmUp(claims: ClaimKeys, clock: Clock): Promise<void> {
  claims.tick(() => true);
  await Promise.all(
    Array.from({length: 200}, () => claimNewKey(claims, clock)),
  );
  await sleep(clock, 200);
}

/** Claims a new key, records its run; returns the latency, null if refused. */
async function claimNewKey(
  claims: ClaimKeys,
  clock: Clock,
): Promise<number | null> {
  const startedMs = clock.monotonicMs();
  const key = makeUuidV7(clock.wallMs());
  try {
    const result = await claims.claim(
      {
        keyHash: hashKey('team', key),
        requestHash: hashKey('request', key),
        issuedAtMs: Math.floor(clock.wallMs()),
      },
      startedMs + CLAIM_TIMEOUT_MS,
    );
    if (result.status !== 'granted') return null;
    const latencyMs = clock.monotonicMs() - startedMs;
    claims.recordRan(result.grant, makeAnswer(ANSWER_BYTES));
    return latencyMs;
  } catch {
    return null;
  }
}

function startClaims(clock: Clock, baseUrl: string, partitionCount = 16) {
  const log = new HttpLogService({
    baseUrl,
    nodeId: 'measured',
    timeoutMs: CLAIM_TIMEOUT_MS,
    connections: 2 * partitionCount,
  });
  const claims = new ClaimKeys({
    clock,
    random: new SeededRandom(1),
    log,
    incarnation: 'measured.12345678',
    isAlive: () => true,
    options: {partitionCount},
  });
  return {claims, log};
}

function sumCounters(claims: ClaimKeys) {
  const counters = claims.listStatus().map(status => status.counters);
  return {
    appends: sum(counters.map(({appends}) => appends)),
    records: sum(counters.map(({records}) => records)),
  };
}

function sum(values: readonly number[]): number {
  return values.reduce((total, value) => total + value, 0);
}

function pickQuantile(sorted: readonly number[], quantile: number): string {
  const index = Math.min(
    sorted.length - 1,
    Math.floor(sorted.length * quantile),
  );
  return (sorted[index] ?? NaN).toFixed(1);
}

function makeAnswer(bytes: number | null): KeptAnswer {
  return {
    statusCode: 200,
    contentType: 'application/json',
    body: bytes === null ? new Uint8Array() : randomBytes(bytes),
  };
}

/** Heap and buffer bytes, after a garbage collection under `--expose-gc`. */
function measureHeapBytes(): number {
  (globalThis as {gc?: () => void}).gc?.();
  const {heapUsed, arrayBuffers} = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

await main();
