/** What model engines and plain services share as backend servers. */
import {type HostEntry, type HostId} from '@mimosatack/types';
import {type FastifyInstance} from 'fastify';
import {request} from 'undici';
import {type RunningStandIn, listenOnLoopback} from './http_server.js';

/** Settings that say where a backend server stands. */
export interface BackendOptions {
  port: number;
  backendServerId: string;
  /** The backend server's id when left empty. */
  hostId: string;
  pool: string;
  failureDomain: string;
  region: string;
  /** Base URL of the platform stand-in; empty: it stands alone. */
  platform: string;
}

/** A backend server that listens on loopback. */
export interface RunningBackend<T> extends RunningStandIn<T> {
  /** Dies without a word: the host list goes on showing it. */
  kill(): Promise<void>;
}

/** The logic of a backend server. */
export interface BackendCore {
  readonly options: BackendOptions;
  /** Ends all work at once, as when the process dies. */
  stop(): void;
}

/** Listens, and puts the backend server on the platform's host list. */
export async function listenAsBackend<T extends BackendCore>(
  server: FastifyInstance,
  core: T,
  role: HostEntry['role'],
): Promise<RunningBackend<T>> {
  const {port, platform, pool, failureDomain, region} = core.options;
  const hostId = hostIdOf(core.options);
  const baseUrl = await listenOnLoopback(server, port);
  const place = {hostId, baseUrl, pool, failureDomain, region};
  await registerHost(platform, {...place, role, state: 'live'});
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

/** The host that a backend server says it is on. */
export function hostIdOf(options: BackendOptions): HostId {
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

/** A platform that has gone already is no error. */
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
