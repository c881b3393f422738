/** The common part of model engines and plain services. */
import {type HostEntry, type HostId} from '@mimosatack/types';
import {type FastifyInstance} from 'fastify';
import {request} from 'undici';
import {type RunningStandIn, listenOnLoopback} from './http_server.js';

/** Address, identity and location of a backend server. */
export interface BackendOptions {
  port: number;
  backendServerId: string;
  /** Defaults to `backendServerId` if empty. */
  hostId: string;
  pool: string;
  failureDomain: string;
  region: string;
  /** Base URL of the platform stand-in; empty: no platform. */
  platform: string;
}

/** A backend server that listens on loopback. */
export interface RunningBackend<T> extends RunningStandIn<T> {
  /** Simulates a crash: stops without deregistering from the host list. */
  kill(): Promise<void>;
}

/** The logic of a backend server. */
export interface BackendCore {
  readonly options: BackendOptions;
  /** Ends all work immediately, as in a process crash. */
  stop(): void;
}

/** Listens and registers the server in the platform's host list. */
export async function listenAsBackend<T extends BackendCore>(
  server: FastifyInstance,
  core: T,
  role: HostEntry['role'],
): Promise<RunningBackend<T>> {
  const {port, platform, pool, failureDomain, region} = core.options;
  const hostId = resolveHostId(core.options);
  const baseUrl = await listenOnLoopback(server, port);
  const location = {hostId, baseUrl, pool, failureDomain, region};
  await registerHost(platform, {...location, role, state: 'live'});
  const kill = async () => {
    core.stop();
    await server.close();
  };
  const close = async () => {
    await deregisterHost(platform, hostId);
    await kill();
  };
  return {baseUrl, core, close, kill};
}

export function resolveHostId(options: BackendOptions): HostId {
  return options.hostId === '' ? options.backendServerId : options.hostId;
}

async function registerHost(
  platformUrl: string,
  entry: HostEntry,
): Promise<void> {
  if (platformUrl === '') return;
  const answer = await request(`${platformUrl}/control/hosts`, {
    method: 'POST',
    headers: {'content-type': 'application/json'},
    body: JSON.stringify(entry),
  });
  await answer.body.dump();
}

/** Ignores errors, since the platform may have stopped already. */
async function deregisterHost(
  platformUrl: string,
  hostId: HostId,
): Promise<void> {
  if (platformUrl === '') return;
  const url = `${platformUrl}/control/hosts/${encodeURIComponent(hostId)}`;
  await request(url, {method: 'DELETE'})
    .then(answer => answer.body.dump())
    .catch(() => undefined);
}
