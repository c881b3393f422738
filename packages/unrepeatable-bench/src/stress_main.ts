/** Runs unrepeatable requests under injected faults; checks their outcomes. */
import {randomBytes} from 'node:crypto';
import {parseArgs} from 'node:util';
import {SystemClock, sleep} from '@mimosatack/clock';
import {
  type Cluster,
  type Deployment,
  type NodeSpec,
  ProcessGroup,
  findDeployment,
  hashToken,
  startCluster,
  startNode,
} from '@mimosatack/demo';
import {SeededRandom} from '@mimosatack/random';
import {request} from 'undici';
import {type Operation, runOperation} from './stress_caller.js';
import {StressFaults} from './stress_faults.js';
import {countRefusals, hasViolation, tallyOutcomes} from './stress_report.js';

const NODE_COUNT = 5;
const CALLER_COUNT = 64;
const MAX_THINK_TIME_MS = 400;
const SETTLE_MS = 3_000;
const READY_TIMEOUT_MS = 30_000;
const PLAIN_SERVICE: Partial<Deployment> = {runners: 0, models: []};

interface StressOptions {
  requestCount: number;
  seed: number;
  /** The mean time between two faults. */
  faultPauseMs: number;
}

async function main(): Promise<void> {
  const {values} = parseArgs({
    options: {
      requests: {type: 'string', default: '10000'},
      seed: {type: 'string', default: '1'},
      'fault-pause-ms': {type: 'string', default: '400'},
    },
  });
  const deployment = {...findDeployment('prairie')!, ...PLAIN_SERVICE};
  const group = new ProcessGroup();
  try {
    const isClean = await runStress(group, deployment, {
      requestCount: Number(values.requests),
      seed: Number(values.seed),
      faultPauseMs: Number(values['fault-pause-ms']),
    });
    process.exitCode = isClean ? 0 : 1;
  } finally {
    await group.stopAll();
  }
}

async function runStress(
  group: ProcessGroup,
  deployment: Deployment,
  {requestCount, seed, faultPauseMs}: StressOptions,
): Promise<boolean> {
  const clock = new SystemClock();
  const prepared = await prepare(group, deployment);
  const {cluster} = prepared;
  const faults = new StressFaults({
    clock,
    random: new SeededRandom(seed),
    group,
    ...prepared,
  });
  const startedMs = clock.monotonicMs();
  let isDone = false;
  const faultRun = faults.run(faultPauseMs, () => isDone);
  const operations = await runCallers(cluster, deployment, requestCount, seed);
  const durationMs = clock.monotonicMs() - startedMs;
  isDone = true;
  await faultRun;
  await sleep(clock, SETTLE_MS);
  return report(operations, await countRuns(cluster), faults, durationMs);
}

async function prepare(
  group: ProcessGroup,
  deployment: Deployment,
): Promise<{cluster: Cluster; makeSpec(index: number): NodeSpec}> {
  const cluster = await startCluster(group, deployment, 0);
  const secret = randomBytes(16).toString('hex');
  const makeSpec = (index: number): NodeSpec => ({
    nodeName: `node-${index}`,
    failureDomain: deployment.failureDomains[0] ?? '',
    seed: cluster.nodes.map(node => node.peerAddress).join(','),
    platformUrl: cluster.platform.baseUrl,
    adminToken: cluster.adminToken,
    secret,
    deployment,
  });
  while (cluster.nodes.length < NODE_COUNT) {
    const node = await startNode(group, makeSpec(cluster.nodes.length + 1));
    cluster.nodes.push(node);
  }
  await createConfiguration(cluster, deployment);
  await waitUntilServing(cluster, deployment);
  return {cluster, makeSpec};
}

async function createConfiguration(
  cluster: Cluster,
  {team, service, servicePool, unrepeatableCall}: Deployment,
): Promise<void> {
  await putRecord(cluster, `teams/${team}`, {
    tokens: [
      {name: 'app', role: 'caller', tokenHash: hashToken(cluster.callerToken)},
    ],
  });
  await putRecord(cluster, `services/${service}`, {
    pool: servicePool,
    calls: {[unrepeatableCall]: {unrepeatable: true}},
  });
}

async function putRecord(
  cluster: Cluster,
  path: string,
  content: object,
): Promise<void> {
  const url = `${cluster.nodes[0]?.adminBaseUrl}/admin/v1/${path}`;
  const answer = await request(url, {
    method: 'PUT',
    headers: {
      'content-type': 'application/json',
      authorization: `Bearer ${cluster.adminToken}`,
    },
    body: JSON.stringify({content, expectedVersion: 0, reason: 'stress'}),
  });
  const text = await answer.body.text();
  if (answer.statusCode >= 300) throw new Error(text);
}

/** Waits for successive calls to succeed on random nodes; resets services. */
async function waitUntilServing(
  cluster: Cluster,
  deployment: Deployment,
): Promise<void> {
  const clock = new SystemClock();
  const limitMs = clock.monotonicMs() + READY_TIMEOUT_MS;
  const context = makeCallerContext(cluster, deployment, 0);
  let successiveRuns = 0;
  while (successiveRuns < NODE_COUNT * 4) {
    if (clock.monotonicMs() > limitMs) throw new Error('Cluster not ready.');
    const operation = await runOperation(-1, context);
    successiveRuns = operation.lastWord === 'ran' ? successiveRuns + 1 : 0;
  }
  await Promise.all(
    cluster.services.map(({baseUrl}) =>
      request(`${baseUrl}/control/reset`, {method: 'POST'}),
    ),
  );
}

function makeCallerContext(
  cluster: Cluster,
  {service, unrepeatableCall}: Deployment,
  seed: number,
) {
  return {
    clock: new SystemClock(),
    random: new SeededRandom(seed),
    token: cluster.callerToken,
    listNodes: () => cluster.nodes.map(node => node.callerBaseUrl),
    path: `/v1/services/${service}/${unrepeatableCall}`,
  };
}

async function runCallers(
  cluster: Cluster,
  deployment: Deployment,
  requestCount: number,
  seed: number,
): Promise<Operation[]> {
  let nextIndex = 0;
  const runCaller = async (caller: number): Promise<Operation[]> => {
    const context = makeCallerContext(cluster, deployment, seed + caller);
    const operations: Operation[] = [];
    while (nextIndex < requestCount) {
      operations.push(await runOperation(nextIndex++, context));
      await sleep(
        context.clock,
        MAX_THINK_TIME_MS * context.random.nextFraction(),
      );
    }
    return operations;
  };
  const callers = Array.from({length: CALLER_COUNT}, (_, caller) =>
    runCaller(caller),
  );
  return (await Promise.all(callers)).flat();
}

async function countRuns(cluster: Cluster): Promise<Map<string, number>> {
  const counts = new Map<string, number>();
  for (const {baseUrl} of cluster.services) {
    await request(`${baseUrl}/control/thaw`, {method: 'POST'});
    const answer = await request(`${baseUrl}/control/observed`);
    const {runsByField} = (await answer.body.json()) as {
      runsByField: Record<string, number>;
    };
    Object.entries(runsByField).forEach(([field, runs]) => {
      const id = JSON.parse(field) as string;
      counts.set(id, (counts.get(id) ?? 0) + runs);
    });
  }
  return counts;
}

function report(
  operations: readonly Operation[],
  runs: ReadonlyMap<string, number>,
  faults: StressFaults,
  durationMs: number,
): boolean {
  const tallies = tallyOutcomes(operations, runs);
  const attempts = operations
    .map(operation => operation.attempts)
    .reduce((sum, count) => sum + count, 0);
  console.log(
    `${operations.length} requests, ${attempts} attempts, ` +
      `${Math.round(durationMs / 1_000)} s`,
  );
  console.table(tallies);
  console.table(Object.fromEntries(faults.counts));
  console.table(Object.fromEntries(countRefusals(operations)));
  return !hasViolation(tallies);
}

await main();
