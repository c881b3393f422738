import {type EventLogger} from '@mimosatack/logger';
import {type DaemonSettings} from '@mimosatack/settings';
import {type FastifyInstance} from 'fastify';
import {type Operations} from './operations.js';
import {type PeerTask} from './peer_task.js';

/** The addresses at which a started node listens. */
export interface NodeAddresses {
  callerBaseUrl: string;
  adminBaseUrl: string;
  peerAddress: string;
}

export interface ListeningParts {
  settings: DaemonSettings;
  logger: EventLogger;
  incarnation: string;
  peers: PeerTask;
  callerServer: FastifyInstance;
  operations: Operations;
}

/**
 * Opens the peer port first, so that this node answers peers before they learn
 * of it.
 */
export async function openPorts(parts: ListeningParts): Promise<NodeAddresses> {
  const {settings, logger, incarnation, operations, callerServer} = parts;
  const {listenHost: host, advertiseHost} = settings;
  await operations.openTls();
  const peer = await parts.peers.listen();
  await callerServer.listen({host, port: settings.callerPort});
  await operations.operatorServer.listen({host, port: settings.adminPort});
  const callerPort = portOf(callerServer);
  const adminPort = portOf(operations.operatorServer);
  logger.log('node-started', {
    ...{incarnation, callerPort, adminPort, peerPort: peer.port},
  });
  return {
    peerAddress: `${advertiseHost}:${peer.port}`,
    callerBaseUrl: `${operations.schemeOf('callers')}://${advertiseHost}:${callerPort}`,
    adminBaseUrl: `${operations.schemeOf('operators')}://${advertiseHost}:${adminPort}`,
  };
}

function portOf(server: FastifyInstance): number {
  return (server.server.address() as {port: number}).port;
}
