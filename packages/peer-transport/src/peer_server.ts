/** Accepts authenticated connections of peers. */
import {
  type IncomingMessage,
  type Server,
  type ServerResponse,
  createServer,
} from 'node:http';
import {type AddressInfo, type Socket} from 'node:net';
import {type Duplex} from 'node:stream';
import {type TypedError, toTypedError} from '@mimosatack/errors';
import {type WebSocket, WebSocketServer} from 'ws';
import {
  type ConnectionVerifier,
  createNodeNameHeader,
} from './authentication.js';
import {type PeerIdentity} from './options.js';
import {
  RELAY_PROTOCOL,
  readRelayTarget,
  understandsFrames,
} from './relay_handshake.js';

export interface PeerServerOptions {
  listenHost: string;
  listenPort: number;
  nodeName: string;
  maxMessageBytes: number;
  verifier: ConnectionVerifier;
  onConnection(peer: PeerIdentity, socket: WebSocket): void;
  /** Called with the address of the server that a peer wants to be connected to. */
  onRelay(target: string, socket: Socket, isFramed: boolean): void;
  onFault(error: TypedError): void;
}

const STATUS_UPGRADE_REQUIRED = 426;
const UNAUTHORIZED_RESPONSE =
  'HTTP/1.1 401 Unauthorized\r\nConnection: close\r\nContent-Length: 0\r\n\r\n';

/** WebSocket server for peers. */
export class PeerServer {
  private readonly httpServer: Server;
  private readonly webSocketServer: WebSocketServer;

  constructor(private readonly options: PeerServerOptions) {
    this.httpServer = createServer(refusePlainRequest);
    this.webSocketServer = new WebSocketServer({
      noServer: true,
      maxPayload: options.maxMessageBytes,
      perMessageDeflate: false,
    });
    const [nameHeader] = Object.entries(createNodeNameHeader(options.nodeName));
    this.webSocketServer.on('headers', headers =>
      headers.push(nameHeader!.join(': ')),
    );
    this.httpServer.on('upgrade', (request, socket, head) =>
      this.upgrade(request, socket, head),
    );
  }

  /** Starts listening; resolves with the port. */
  start(): Promise<number> {
    const {listenHost, listenPort} = this.options;
    return new Promise((resolve, reject) => {
      this.httpServer.once('error', reject);
      this.httpServer.listen(listenPort, listenHost, () => {
        this.httpServer.off('error', reject);
        this.httpServer.on('error', error =>
          this.options.onFault(toTypedError(error)),
        );
        resolve((this.httpServer.address() as AddressInfo).port);
      });
    });
  }

  /** Stops listening; the transport closes open WebSocket connections. */
  stop(): Promise<void> {
    return new Promise(resolve => {
      this.httpServer.close(() => resolve());
      this.httpServer.closeAllConnections();
    });
  }

  private upgrade(request: IncomingMessage, socket: Duplex, head: Buffer) {
    // Guards against a process exit on an unhandled socket error.
    socket.on('error', () => socket.destroy());
    try {
      const peer = this.options.verifier.verify(request.headers);
      if (request.headers.upgrade === RELAY_PROTOCOL) {
        const target = readRelayTarget(request.headers);
        const isFramed = understandsFrames(request.headers);
        this.options.onRelay(target, socket as Socket, isFramed);
        return;
      }
      this.webSocketServer.handleUpgrade(request, socket, head, webSocket =>
        this.options.onConnection(peer, webSocket),
      );
    } catch (thrown) {
      socket.end(UNAUTHORIZED_RESPONSE);
      this.options.onFault(toTypedError(thrown));
    }
  }
}

function refusePlainRequest(_: IncomingMessage, response: ServerResponse) {
  response.writeHead(STATUS_UPGRADE_REQUIRED).end();
}
