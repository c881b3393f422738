/** Starts the processes of a demo: stand-ins and nodes. */
import {createHash, randomBytes} from 'node:crypto';
import {fileURLToPath} from 'node:url';
import {type Deployment} from './deployment.js';
import {type ProcessGroup, type RunningProgram} from './process_group.js';

/** Addresses that a node listens on, from its READY line. */
export interface NodeAddresses {
  callerBaseUrl: string;
  adminBaseUrl: string;
  peerAddress: string;
}

export interface RunningNode extends RunningProgram, NodeAddresses {}

export interface RunningStandIn extends RunningProgram {
  baseUrl: string;
}

/** The running processes and the tokens that they accept. */
export interface Cluster {
  platform: RunningStandIn;
  engines: RunningStandIn[];
  services: RunningStandIn[];
  nodes: RunningNode[];
  adminToken: string;
  callerToken: string;
}

const resolveScript = (specifier: string) =>
  fileURLToPath(new URL(`../../${specifier}`, import.meta.url));

const SCRIPTS = {
  platform: resolveScript('stand-ins/dist/platform_main.js'),
  engine: resolveScript('stand-ins/dist/engine_main.js'),
  service: resolveScript('stand-ins/dist/service_main.js'),
  daemon: resolveScript('daemon/dist/main.js'),
};

export const CLI_SCRIPT = resolveScript('cli/dist/main.js');

/** Starts all processes and resolves once each one reports readiness. */
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
      failureDomain: pickFailureDomain(deployment, index),
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

export interface NodeSpec {
  nodeName: string;
  failureDomain: string;
  seed: string;
  platformUrl: string;
  adminToken: string;
  secret: string;
  deployment: Deployment;
}

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

/** SHA-256 in hexadecimal, the form in which tokens are stored. */
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
        'failure-domain': pickFailureDomain(deployment, index),
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

function pickFailureDomain(deployment: Deployment, index: number): string {
  const {failureDomains} = deployment;
  return failureDomains[index % failureDomains.length] as string;
}
