/** Program: runs nodes against stand-ins on one machine and checks them. */
import {parseArgs} from 'node:util';
import {toTypedError} from '@mimosatack/errors';
import {request} from 'undici';
import {callService, listEntries, streamChat, waitFor} from './caller_steps.js';
import {type Cluster, startCluster} from './cluster.js';
import {type Deployment, findDeployment} from './deployment.js';
import {publishDocuments, runCli} from './operator_steps.js';
import {ProcessGroup} from './process_group.js';

const NODE_COUNT = 4;
const EVENT_LEAD_MS = 12_000;
const WARM_TIMEOUT_MS = 60_000;
const CALLER_COUNT = 24;

interface TableRow {
  step: string;
  passed: boolean;
  detail: string;
}

async function main(): Promise<void> {
  const {values} = parseArgs({
    options: {
      hold: {type: 'boolean', default: false},
      deployment: {type: 'string', default: 'prairie'},
    },
  });
  const deployment = findDeployment(values.deployment);
  if (!deployment) {
    process.stderr.write('--deployment takes prairie or zorza.\n');
    process.exitCode = 2;
    return;
  }
  const group = new ProcessGroup();
  try {
    const cluster = await startCluster(group, deployment, NODE_COUNT);
    await publishAndWarm(cluster, deployment);
    if (values.hold) await printAddressesAndWait(cluster, deployment);
    else await runSteps(cluster, deployment);
  } catch (thrown) {
    process.stderr.write(`${toTypedError(thrown).message}\n`);
    process.exitCode = 1;
  } finally {
    await group.stopAll();
  }
}

function printProgress(progress: string): void {
  process.stderr.write(`… ${progress}\n`);
}

/** Publishes the documents and waits until the event's replicas are warm. */
async function publishAndWarm(
  cluster: Cluster,
  deployment: Deployment,
): Promise<void> {
  printProgress('waiting until all backend servers are registered');
  await waitFor('the backend servers', WARM_TIMEOUT_MS, async () => {
    const listed = await readItems<unknown>(cluster, 'backend-server');
    const expected = deployment.runners + deployment.services;
    return listed.length === expected ? listed : null;
  });
  printProgress('publishing documents and an event');
  const startsAtMs = Date.now() + EVENT_LEAD_MS;
  await publishDocuments(cluster, deployment, startsAtMs);
  printProgress('waiting until the replicas of the event are warm');
  await waitFor('warm replicas', WARM_TIMEOUT_MS, async () => {
    const slots = await readItems<{replicaStatus: string}>(cluster, 'replica');
    const isWarm =
      slots.length >= deployment.models.length * 2 &&
      slots.every(slot => slot.replicaStatus === 'warm');
    return isWarm && Date.now() >= startsAtMs ? slots : null;
  });
}

async function readItems<T>(cluster: Cluster, noun: string): Promise<T[]> {
  const answer = (await runCli(cluster, [noun, 'list'])) as {items: T[]};
  return answer.items;
}

async function printAddressesAndWait(
  cluster: Cluster,
  deployment: Deployment,
): Promise<void> {
  const programs = [
    cluster.platform,
    ...cluster.engines,
    ...cluster.services,
    ...cluster.nodes,
  ];
  const line = {
    entries: cluster.nodes.map(node => node.callerBaseUrl),
    admin: cluster.nodes.map(node => node.adminBaseUrl),
    adminToken: cluster.adminToken,
    callerToken: cluster.callerToken,
    models: deployment.models,
    services: [deployment.service],
    unrepeatableService: `${deployment.service}/${deployment.unrepeatableCall}`,
    platform: cluster.platform.baseUrl,
    pids: Object.fromEntries(
      programs.map(program => [program.processName, program.pid]),
    ),
  };
  process.stdout.write(`READY ${JSON.stringify(line)}\n`);
  await new Promise<void>(resolve => {
    process.once('SIGINT', resolve);
    process.once('SIGTERM', resolve);
  });
}

async function runSteps(
  cluster: Cluster,
  deployment: Deployment,
): Promise<void> {
  const rows: TableRow[] = [
    await streamConcurrently(cluster, deployment, 'chat at the start'),
    await callPlain(cluster, deployment),
    await repeatUnrepeatableCall(cluster, deployment),
    await killOneNode(cluster, deployment),
  ];
  rows.forEach(({step, passed, detail}) =>
    process.stdout.write(
      `${passed ? 'ok  ' : 'FAIL'}  ${step.padEnd(34)} ${detail}\n`,
    ),
  );
  if (rows.some(row => !row.passed)) process.exitCode = 1;
}

async function streamConcurrently(
  cluster: Cluster,
  deployment: Deployment,
  step: string,
): Promise<TableRow> {
  const survivingNode = cluster.nodes.at(-1);
  const entries = await listEntries(survivingNode?.callerBaseUrl ?? '');
  const models = [
    ...deployment.models,
    `${deployment.models[0]}:${deployment.adapter}`,
  ];
  const results = await Promise.all(
    Array.from({length: CALLER_COUNT}, (_unused, index) =>
      streamChat(
        entries[index % entries.length]?.baseUrl ?? '',
        cluster.callerToken,
        models[index % models.length] ?? '',
        `caller ${index} asks for the list of the week`,
      ),
    ),
  );
  const slowestMs = Math.max(...results.map(result => result.firstTokenMs));
  const wrong = results.filter(result => !result.isCorrect);
  return {
    step,
    passed: wrong.length === 0,
    detail:
      `${results.length - wrong.length} of ${results.length} whole, ` +
      `slowest first token ${Math.round(slowestMs)} ms` +
      (wrong[0] ? `; first failure: ${wrong[0].detail}` : ''),
  };
}

async function callPlain(
  cluster: Cluster,
  deployment: Deployment,
): Promise<TableRow> {
  const [entry] = await listEntries(cluster.nodes[0]?.callerBaseUrl ?? '');
  const answer = await callService(
    entry?.baseUrl ?? '',
    cluster.callerToken,
    `${deployment.service}/push`,
    null,
    {to: 'volunteer-7'},
  );
  return {
    step: 'plain service call',
    passed: answer.statusCode === 200,
    detail: `status ${answer.statusCode}`,
  };
}

/** Sends an unrepeatable call twice and counts its runs on the stand-ins. */
async function repeatUnrepeatableCall(
  cluster: Cluster,
  deployment: Deployment,
): Promise<TableRow> {
  const [entry] = await listEntries(cluster.nodes[0]?.callerBaseUrl ?? '');
  const key = `${entry?.keyPrefix}hamper-1`;
  const send = () =>
    callService(
      entry?.baseUrl ?? '',
      cluster.callerToken,
      `${deployment.service}/${deployment.unrepeatableCall}`,
      key,
      {home: 'home-1'},
    );
  const answers = [await send(), await send()];
  const runs = await countRuns(cluster, key);
  return {
    step: 'unrepeatable call sent twice',
    passed: runs === 1 && answers.every(answer => answer.statusCode === 200),
    detail: `ran ${runs} time(s), answered ${answers.length} times`,
  };
}

async function countRuns(cluster: Cluster, key: string): Promise<number> {
  const observed = await Promise.all(
    cluster.services.map(async service => {
      const response = await request(`${service.baseUrl}/control/observed`);
      return (await response.body.json()) as {
        runs: {idempotencyKey: string | null}[];
      };
    }),
  );
  return observed
    .flatMap(service => service.runs)
    .filter(run => run.idempotencyKey === key).length;
}

async function killOneNode(
  cluster: Cluster,
  deployment: Deployment,
): Promise<TableRow> {
  const [killedNode] = cluster.nodes;
  killedNode?.signal('SIGKILL');
  await killedNode?.ended;
  const survivorUrl = cluster.nodes.at(-1)?.callerBaseUrl ?? '';
  await waitFor('the entry list without the dead node', WARM_TIMEOUT_MS, () =>
    listEntries(survivorUrl).then(entries =>
      entries.some(entry => entry.nodeName === killedNode?.processName)
        ? null
        : entries,
    ),
  );
  return streamConcurrently(
    cluster,
    deployment,
    'chat after a node was killed',
  );
}

await main();
