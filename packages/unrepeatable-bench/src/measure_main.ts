/**
 * Program: what remembered keys and claims cost. The log service is the
 * stand-in in this process, behind HTTP on loopback; its time is in the
 * latencies, its processor time is not told apart.
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
const LOADS_PER_S = [1, 10, 100, 1_000, 4_000];
const MEASURED_MS = 5_000;
const CLAIM_TIMEOUT_MS = 5_000;
const TURN_MS = 5;
const MS_PER_S = 1_000;

/** What one rate of claims came to. */
interface ClaimMeasurement {
  claimsPerS: number;
  granted: number;
  refused: number;
  appendsPerS: string;
  recordsPerAppend: string;
  p50Ms: string;
  p99Ms: string;
  /** Of this process, with the stand-in of the log service. */
  cpuPercent: string;
}

async function main(): Promise<void> {
  const clock = new SystemClock();
  console.log('Memory of remembered keys');
  console.table([
    await measureTickets(clock, null),
    await measureTickets(clock, ANSWER_BYTES),
    await measureClaims(clock),
  ]);
  console.log('Claims, 16 partitions, 50 ms between appends to one of them');
  const rows: ClaimMeasurement[] = [];
  for (const claimsPerS of LOADS_PER_S) {
    rows.push(await measureLoad(clock, claimsPerS));
  }
  console.table(rows);
}

async function measureTickets(clock: Clock, answerBytes: number | null) {
  const table = new TicketTable({clock});
  const before = countHeapBytes();
  const generation = generationAt(clock.wallMs());
  const indexes = Array.from({length: KEY_COUNT}, (_, index) => index);
  const beganMs = clock.monotonicMs();
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
  const tookMs = clock.monotonicMs() - beganMs;
  await sleep(clock, 1);
  const bytes = countHeapBytes() - before;
  return {
    what: `ticket, answer of ${answerBytes ?? 0} bytes`,
    keys: table.size,
    bytesPerKey: Math.round(bytes / KEY_COUNT),
    microsPerKey: ((tookMs * MS_PER_S) / KEY_COUNT).toFixed(1),
  };
}

async function measureClaims(clock: Clock) {
  const platform = await startPlatformStandIn();
  const {claims, log} = startClaims(clock, platform.baseUrl, 1);
  await claimOne(claims, clock);
  const before = countHeapBytes() - countLogBytes(platform);
  const indexes = Array.from({length: KEY_COUNT / 10}, (_, index) => index);
  await Promise.all(indexes.map(() => claimOne(claims, clock)));
  await sleep(clock, MS_PER_S);
  const bytes = countHeapBytes() - countLogBytes(platform) - before;
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

/** The stand-in keeps its whole stream in this process. */
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
    appendsPerS: ((appends * MS_PER_S) / MEASURED_MS).toFixed(1),
    recordsPerAppend: ((after.records - before.records) / appends).toFixed(1),
    p50Ms: pickQuantile(latencies, 0.5),
    p99Ms: pickQuantile(latencies, 0.99),
    cpuPercent: ((cpu.user + cpu.system) / MEASURED_MS / 10).toFixed(1),
  };
}

async function runLoad(
  claims: ClaimKeys,
  clock: Clock,
  claimsPerS: number,
): Promise<Array<number | null>> {
  const beganMs = clock.monotonicMs();
  const open: Array<Promise<number | null>> = [];
  let elapsedMs = 0;
  while (elapsedMs < MEASURED_MS) {
    const due = Math.floor((elapsedMs * claimsPerS) / MS_PER_S) + 1;
    while (open.length < due) open.push(claimOne(claims, clock));
    await sleep(clock, TURN_MS);
    elapsedMs = clock.monotonicMs() - beganMs;
  }
  return Promise.all(open);
}

async function warmUp(claims: ClaimKeys, clock: Clock): Promise<void> {
  claims.tick(() => true);
  await Promise.all(Array.from({length: 200}, () => claimOne(claims, clock)));
  await sleep(clock, 200);
}

/** Claims a new key and tells its outcome; resolves with the latency. */
async function claimOne(
  claims: ClaimKeys,
  clock: Clock,
): Promise<number | null> {
  const beganMs = clock.monotonicMs();
  const key = makeUuidV7(clock.wallMs());
  try {
    const result = await claims.claim(
      {
        keyHash: hashKey('team', key),
        requestHash: hashKey('request', key),
        issuedAtMs: Math.floor(clock.wallMs()),
      },
      beganMs + CLAIM_TIMEOUT_MS,
    );
    if (result.status !== 'granted') return null;
    const latencyMs = clock.monotonicMs() - beganMs;
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

function pickQuantile(sorted: readonly number[], share: number): string {
  const index = Math.min(sorted.length - 1, Math.floor(sorted.length * share));
  return (sorted[index] ?? NaN).toFixed(1);
}

function makeAnswer(bytes: number | null): KeptAnswer {
  return {
    statusCode: 200,
    contentType: 'application/json',
    body: bytes === null ? new Uint8Array() : randomBytes(bytes),
  };
}

/** Heap and buffers, after a collection when the program may ask for one. */
function countHeapBytes(): number {
  (globalThis as {gc?: () => void}).gc?.();
  const {heapUsed, arrayBuffers} = process.memoryUsage();
  return heapUsed + arrayBuffers;
}

await main();
