/** Runs a small cluster in one process, for the tests of this package. */
import {createHash} from 'node:crypto';
import {SystemClock} from '@mimosatack/clock';
import {MemoryEventLogger} from '@mimosatack/logger';
import {SeededRandom} from '@mimosatack/random';
import {parseSettings} from '@mimosatack/settings';
import {
  type EngineStandIn,
  type PlatformStandIn,
  type RunningBackend,
  type RunningStandIn,
  expectedCompletionText,
  startEngineStandIn,
  startPlatformStandIn,
} from '@mimosatack/stand-ins';
import {Agent, request} from 'undici';
import {MimosatackNode} from './index.js';

export interface TestNode {
  node: MimosatackNode;
  nodeName: string;
  logger: MemoryEventLogger;
  callerBaseUrl: string;
  adminBaseUrl: string;
  peerAddress: string;
}

export interface TestCluster {
  platform: RunningStandIn<PlatformStandIn>;
  engine: RunningBackend<EngineStandIn>;
  nodes: TestNode[];
}

const TOKEN = 'a-token-for-everything';
const TOKEN_HASH = createHash('sha256').update(TOKEN).digest('hex');
const SECRET = 'a-secret-of-the-cluster';
const TOKEN_MS = 10;

/** Runs `body` on a cluster with one warm model, and stops the cluster. */
export async function withCluster(
  nodeCount: number,
  body: (cluster: TestCluster) => Promise<void>,
): Promise<void> {
  const platform = await startPlatformStandIn();
  const engine = await startEngineStandIn({
    ...{platform: platform.baseUrl, pool: 'pool', backendServerId: 'r1'},
    ...{initMs: 0, firstTokenMs: 0, tokenMs: TOKEN_MS},
  });
  const nodes: TestNode[] = [];
  try {
    for (let index = 0; index < nodeCount; index += 1) {
      nodes.push(await startNode(`node-${index}`, platform.baseUrl, nodes[0]));
    }
    await publishEvent(nodes[0]);
    await waitUntil(async () => {
      const texts = await Promise.all(nodes.map(node => chat(node, 2)));
      return texts.every(text => text === expectedText(2));
    });
    await body({platform, engine, nodes});
  } finally {
    await Promise.all(nodes.map(({node}) => stop(node)));
    await engine.close();
    await platform.close();
  }
}

/** Makes a node without starting it. */
export function createNode(
  nodeName: string,
  platformUrl: string,
  seed?: TestNode,
) {
  const logger = new MemoryEventLogger();
  const argv = Object.entries({
    ...{'node-name': nodeName, region: 'r', 'failure-domain': 'a'},
    ...{'caller-port': 0, 'admin-port': 0, 'peer-port': 0},
    ...{'log-url': platformUrl, 'host-list-url': platformUrl},
    ...{'weight-store-url': platformUrl, 'poll-interval-ms': 50},
    ...{'cluster-secret': SECRET, 'entries-ttl-ms': 100},
    'bootstrap-admin-token-hash': TOKEN_HASH,
    ...(seed ? {'peer-seeds': seed.peerAddress} : {}),
  }).map(([name, value]) => `--${name}=${value}`);
  const node = new MimosatackNode({
    settings: parseSettings(argv, {}),
    ...{logger, clock: new SystemClock(), random: new SeededRandom(1)},
    release: 'test',
  });
  return {node, logger};
}

async function startNode(
  nodeName: string,
  platformUrl: string,
  seed: TestNode | undefined,
): Promise<TestNode> {
  const created = createNode(nodeName, platformUrl, seed);
  const addresses = await created.node.start();
  if (!addresses) throw new Error(`${nodeName} was stopped during startup`);
  return {...created, ...addresses, nodeName};
}

/**
 * A second stop request would stop the node before its shutdown is complete.
 */
async function stop(node: MimosatackNode): Promise<void> {
  if (!node.isStopping) node.requestStop('test');
  await node.stopped;
}

/** Streams one chat; returns its text, or the raw body if it is incomplete. */
export async function chat(
  {callerBaseUrl}: TestNode,
  maxTokens: number,
  onHeaders: () => void = () => undefined,
): Promise<string> {
  const response = await request(`${callerBaseUrl}/v1/chat/completions`, {
    method: 'POST',
    headers: {'content-type': 'application/json', ...bearer()},
    body: JSON.stringify({...makePrompt(maxTokens), stream: true}),
    dispatcher: new Agent(),
  });
  onHeaders();
  const raw = await response.body.text().catch(() => 'cut off');
  if (!raw.endsWith('data: [DONE]\n\n')) return raw;
  return raw
    .split('\n')
    .filter(line => line.startsWith('data: {'))
    .map(line => JSON.parse(line.slice('data: '.length)) as Chunk)
    .map(chunk => chunk.choices[0]?.delta.content ?? '')
    .join('');
}

export const expectedText = (maxTokens: number) =>
  expectedCompletionText(makePrompt(maxTokens));

export async function listEntryNames(node: TestNode): Promise<string[]> {
  const response = await request(`${node.callerBaseUrl}/v1/entries`);
  const {entries} = (await response.body.json()) as {
    entries: {nodeName: string}[];
  };
  return entries.map(entry => entry.nodeName);
}

export async function waitUntil(check: () => Promise<boolean>): Promise<void> {
  while (!(await check())) {
    await new Promise(resolve => setTimeout(resolve, 10));
  }
}

interface Chunk {
  choices: {delta: {content?: string}}[];
}

function makePrompt(maxTokens: number) {
  const messages = [{role: 'user', content: 'eggs flour and milk'}];
  return {model: 'm', messages, max_tokens: maxTokens};
}

function bearer() {
  return {authorization: `Bearer ${TOKEN}`};
}

async function publishEvent(node: TestNode | undefined): Promise<void> {
  const tokens = [{name: 'app', role: 'caller', tokenHash: TOKEN_HASH}];
  const event = {
    ...{startsAt: new Date().toISOString(), durationMinutes: 60},
    needs: [{model: 'm', replicas: 1}],
  };
  const model = {pool: 'pool', version: '1', memoryMib: 10};
  await publish(node, 'teams/t', {tokens});
  await publish(node, 'models/m', model);
  await publish(node, 'templates/w', {team: 't', event});
  await publish(node, 'events/e', {team: 't', template: 'w'});
}

async function publish(
  node: TestNode | undefined,
  path: string,
  content: object,
): Promise<void> {
  const response = await request(`${node?.adminBaseUrl}/admin/v1/${path}`, {
    method: 'PUT',
    headers: {'content-type': 'application/json', ...bearer()},
    body: JSON.stringify({expectedVersion: 0, content}),
  });
  const text = await response.body.text();
  if (response.statusCode !== 200) throw new Error(`${path}: ${text}`);
}
