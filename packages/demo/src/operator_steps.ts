/** Operator steps of the demo, run through the command-line tool. */
import {execFile} from 'node:child_process';
import {mkdtemp, rm, writeFile} from 'node:fs/promises';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {promisify} from 'node:util';
import {TypedError} from '@mimosatack/errors';
import {CLI_SCRIPT, type Cluster, hashToken} from './cluster.js';
import {type Deployment} from './deployment.js';

const run = promisify(execFile);

/** Publishes a deployment's documents and an event made from its template. */
export async function publishDocuments(
  cluster: Cluster,
  deployment: Deployment,
  eventStartMs: number,
): Promise<void> {
  const documents = listDocuments(cluster, deployment, eventStartMs);
  for (const {kind, id, content} of documents) {
    await publish(cluster, kind, id, content);
  }
}

/** Runs one CLI command with `--json` and parses its output. */
export async function runCli(
  cluster: Cluster,
  args: readonly string[],
): Promise<unknown> {
  const {stdout} = await run(
    process.execPath,
    [CLI_SCRIPT, ...args, '--json'],
    {
      env: {
        ...process.env,
        MIMOSATACK_ADMIN_URL: cluster.nodes[0]?.adminBaseUrl,
        MIMOSATACK_TOKEN: cluster.adminToken,
      },
    },
  ).catch((thrown: unknown) => {
    throw makeCommandError(thrown, args);
  });
  return JSON.parse(stdout);
}

function makeCommandError(
  thrown: unknown,
  args: readonly string[],
): TypedError {
  const {stderr} = thrown as {stderr?: string};
  return new TypedError(
    'internal',
    `mimosatack ${args.join(' ')} failed: ${stderr ?? String(thrown)}`,
  );
}

async function publish(
  cluster: Cluster,
  kind: string,
  id: string,
  content: unknown,
): Promise<void> {
  const folder = await mkdtemp(join(tmpdir(), 'mimosatack-demo-'));
  const file = join(folder, 'document.json');
  await writeFile(file, JSON.stringify(content));
  await runCli(cluster, [kind, 'put', id, file, '--reason', 'demo']);
  await rm(folder, {recursive: true});
}

interface DocumentSpec {
  kind: string;
  id: string;
  content: unknown;
}

const MODEL_MIB = 16_384;
const ADAPTER_MIB = 512;

function listDocuments(
  cluster: Cluster,
  deployment: Deployment,
  eventStartMs: number,
): DocumentSpec[] {
  const {team, models, adapter, service} = deployment;
  return [
    {kind: 'team', id: team, content: makeTeam(cluster)},
    ...models.map(id => ({
      kind: 'model',
      id,
      content: {
        pool: deployment.modelPool,
        version: 'v1',
        memoryMib: MODEL_MIB,
        adapters: {[adapter]: {memoryMib: ADAPTER_MIB}},
      },
    })),
    {
      kind: 'service',
      id: service,
      content: {
        pool: deployment.servicePool,
        calls: {
          push: {},
          [deployment.unrepeatableCall]: {unrepeatable: true},
        },
      },
    },
    {kind: 'template', id: 'window', content: makeTemplate(deployment)},
    {
      kind: 'event',
      id: 'demo-window',
      content: {
        team,
        template: 'window',
        parameters: {
          start: new Date(eventStartMs).toISOString(),
          replicas: 2,
        },
      },
    },
  ];
}

function makeTeam(cluster: Cluster) {
  return {
    tokens: [
      {
        name: 'app',
        role: 'caller',
        tokenHash: hashToken(cluster.callerToken),
      },
    ],
  };
}

function makeTemplate(deployment: Deployment) {
  const {team, models, adapter, service, unrepeatableCall} = deployment;
  return {
    team,
    description: 'A window in which families or watchers are served',
    parameters: {
      start: {type: 'time'},
      replicas: {type: 'number', default: 1, min: 1, max: 4},
    },
    event: {
      startsAt: '${start}',
      durationMinutes: 30,
      needs: models.map((model, index) => ({
        model,
        adapters: index === 0 ? [adapter] : [],
        replicas: '${replicas}',
      })),
      unrepeatable: [{service, call: unrepeatableCall}],
    },
  };
}
