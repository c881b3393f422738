/** Reaches backend servers through other nodes while this node reaches none. */
import {
  type BackendConnections,
  openSocket,
} from '@mimosatack/backend-connections';
import {type InFlight} from '@mimosatack/drain-node';
import {type NodeLinks, type RegisteredNode} from '@mimosatack/node-links';
import {
  RelayServer,
  RelayedSocket,
  ServerDialer,
  ServerPath,
} from '@mimosatack/relay-connections';
import {
  type BackendServerEntry,
  type SocketAddress,
  formatAddress,
} from '@mimosatack/types';
import {type ServingNodeOptions} from './serving_node_options.js';

export interface ServerPathsOptions extends Pick<
  ServingNodeOptions,
  'clock' | 'random' | 'logger' | 'settings'
> {
  connections: BackendConnections;
  self: RegisteredNode;
  listServers: () => readonly BackendServerEntry[];
  listNodes: () => readonly RegisteredNode[];
  openRelay: NodeLinks['openRelay'];
  isStopping: () => boolean;
  inFlight: Pick<InFlight, 'begin'>;
  /** Called when this node has lost its path to all servers. */
  onCutOff: () => void;
}

export class ServerPaths {
  readonly relays: RelayServer;
  private readonly path: ServerPath;

  constructor(private readonly options: ServerPathsOptions) {
    const {clock, random, settings, self, connections} = options;
    const listServers = () => options.listServers().map(({address}) => address);
    const openDirect = (address: SocketAddress, timeoutMs: number) =>
      openSocket(clock, address, timeoutMs);
    this.path = new ServerPath({
      ...{clock, random, listServers},
      tryConnect: (address, timeoutMs) =>
        openDirect(address, timeoutMs).then(
          socket => Boolean(socket.destroy()),
          () => false,
        ),
      onPathChange: isCutOff => this.handlePathChange(isCutOff),
    });
    this.relays = new RelayServer({
      ...{clock, listServers, openDirect},
      beginWork: () => options.inFlight.begin('relay'),
      onEnded: relay => options.logger.log('relay-ended', {...relay}),
      mayRelay: () => !this.isCutOff && !options.isStopping(),
    });
    connections.useDialer(
      new ServerDialer({
        ...{clock, random, openDirect, path: this.path},
        ownDomain: settings.failureDomain,
        listHelpers: () =>
          options
            .listNodes()
            .filter(({nodeName}) => nodeName !== self.nodeName),
        openRelayed: ({peerAddress}, address, timeoutMs) =>
          this.openRelayed(peerAddress, address, timeoutMs),
      }),
    );
  }

  /** Whether this node reaches no server itself. */
  get isCutOff(): boolean {
    return this.path.isCutOff;
  }

  private async openRelayed(
    peerAddress: string,
    address: SocketAddress,
    timeoutMs: number,
  ): Promise<RelayedSocket> {
    const socket = new RelayedSocket();
    const {isFramed, head} = await this.options.openRelay(
      ...([peerAddress, formatAddress(address), timeoutMs] as const),
      () => socket,
    );
    socket.beginRelay(isFramed, head);
    return socket;
  }

  /** Idle connections on the path that was left may hang, or burden another node. */
  private handlePathChange(isCutOff: boolean): void {
    const {connections, logger, onCutOff} = this.options;
    connections.closeAllIdle();
    logger.log('server-path-changed', {isCutOff});
    if (isCutOff) onCutOff();
  }
}
