/** Starts the stand-ins and the nodes of a demo. */
import {createHash, randomBytes} from 'node:crypto';
import {fileURLToPath} from 'node:url';
import {type Deployment} from './deployment.js';
import {type ProcessGroup, type RunningProgram} from './process_group.js';

/** Where a node listens, from its ready line. */
export interface NodeAddresses {
  callerBaseUrl: string;
  adminBaseUrl: string;
  peerAddress: string;
}

/** A node that runs. */
export interface RunningNode extends RunningProgram, NodeAddresses {}

/** A stand-in that runs. */
export interface RunningStandIn extends RunningProgram {
  baseUrl: string;
}

/** All that was started. */
export interface Cluster {
  platform: RunningStandIn;
  engines: RunningStandIn[];
  services: RunningStandIn[];
  nodes: RunningNode[];
  adminToken: string;
  callerToken: string;
}

const scriptOf = (specifier: string) =>
  fileURLToPath(new URL(`../../${specifier}`, import.meta.url));

const SCRIPTS = {
  platform: scriptOf('stand-ins/dist/platform_main.js'),
  engine: scriptOf('stand-ins/dist/engine_main.js'),
  service: scriptOf('stand-ins/dist/service_main.js'),
  daemon: scriptOf('daemon/dist/main.js'),
};

/** The command-line tool's script. */
export const CLI_SCRIPT = scriptOf('cli/dist/main.js');

/** Starts everything; resolves when all say that they are ready. */
export async function startCluster(
  group: ProcessGroup,
  deployment: Deployment,
  nodeCount: number,
): Promise<Cluster> {
  const platform = await startStandIn(group, 'platform', SCRIPTS.platform, {
    'loads-per-second': String(deployment.loadsPerSecond),
    'full-speed-loads': String(deployment.fullSpeedLoads),
  });
  const [engines, services] = await Promise.all([
    startBackends(group, deployment, platform.baseUrl, 'engine'),
    startBackends(group, deployment, platform.baseUrl, 'service'),
  ]);
  const adminToken = randomBytes(16).toString('hex');
  const callerToken = randomBytes(16).toString('hex');
  const secret = randomBytes(16).toString('hex');
  const nodes: RunningNode[] = [];
  for (let index = 0; index < nodeCount; index += 1) {
    const spec = {
      nodeName: `node-${index + 1}`,
      failureDomain: pickDomain(deployment, index),
      seed: nodes[0]?.peerAddress ?? '',
      platformUrl: platform.baseUrl,
      adminToken,
      secret,
      deployment,
    };
    nodes.push(await startNode(group, spec));
  }
  return {platform, engines, services, nodes, adminToken, callerToken};
}

/** What one node is started with. */
export interface NodeSpec {
  nodeName: string;
  failureDomain: string;
  seed: string;
  platformUrl: string;
  adminToken: string;
  secret: string;
  deployment: Deployment;
}

/** Starts one node. */
export async function startNode(
  group: ProcessGroup,
  spec: NodeSpec,
): Promise<RunningNode> {
  const {deployment, platformUrl} = spec;
  const program = await group.start({
    processName: spec.nodeName,
    script: SCRIPTS.daemon,
    args: toFlags({
      'node-name': spec.nodeName,
      'failure-domain': spec.failureDomain,
      region: deployment.region,
      'caller-port': '0',
      'admin-port': '0',
      'peer-port': '0',
      'log-url': platformUrl,
      'host-list-url': platformUrl,
      'weight-store-url': platformUrl,
      'peer-seeds': spec.seed,
      'bootstrap-admin-token-hash': hashToken(spec.adminToken),
      'cold-start-weight': String(deployment.coldStartWeight),
      'idle-weight': String(deployment.idleWeight),
      'log-destination': 'stderr',
    }),
    env: {MIMOSATACK_CLUSTER_SECRET: spec.secret},
    readReady: line =>
      line.startsWith('READY ')
        ? (JSON.parse(line.slice('READY '.length)) as unknown)
        : null,
  });
  return {...program, ...(program.ready as NodeAddresses)};
}

/** The form in which tokens are stored. */
export function hashToken(token: string): string {
  return createHash('sha256').update(token).digest('hex');
}

function startBackends(
  group: ProcessGroup,
  deployment: Deployment,
  platformUrl: string,
  kind: 'engine' | 'service',
): Promise<RunningStandIn[]> {
  const isEngine = kind === 'engine';
  const pool = isEngine ? deployment.modelPool : deployment.servicePool;
  const count = isEngine ? deployment.runners : deployment.services;
  return Promise.all(
    Array.from({length: count}, (_unused, index) => {
      const id = `${pool}-${index + 1}`;
      return startStandIn(group, id, SCRIPTS[kind], {
        'backend-server-id': id,
        'host-id': id,
        pool,
        'failure-domain': pickDomain(deployment, index),
        region: deployment.region,
        platform: platformUrl,
      });
    }),
  );
}

async function startStandIn(
  group: ProcessGroup,
  processName: string,
  script: string,
  flags: Readonly<Record<string, string>>,
): Promise<RunningStandIn> {
  const program = await group.start({
    processName,
    script,
    args: toFlags(flags),
    readReady: line =>
      line.startsWith('{"ready":true') ? (JSON.parse(line) as unknown) : null,
  });
  return {...program, baseUrl: (program.ready as {baseUrl: string}).baseUrl};
}

function toFlags(flags: Readonly<Record<string, string>>): string[] {
  return Object.entries(flags)
    .filter(([, value]) => value !== '')
    .flatMap(([name, value]) => [`--${name}`, value]);
}

function pickDomain(deployment: Deployment, index: number): string {
  const {failureDomains} = deployment;
  return failureDomains[index % failureDomains.length] as string;
}
