/**
 * Serves readiness, caller addresses and metrics over HTTP. Uses Node's own
 * server: a framework would cost 12 MB of memory and 50 ms at each start.
 */
import {
  type IncomingMessage,
  type Server,
  type ServerResponse,
  createServer,
} from 'node:http';
import {type SocketAddress} from '@mimosatack/types';
import {type EntryList, type EntryQuery} from './entry_list.js';
import {type PlatformAdapter} from './platform_adapter.js';

export interface StatusServerOptions {
  platform: Pick<
    PlatformAdapter,
    'readyPath' | 'entriesPath' | 'formatEntries' | 'readEntriesQuery'
  >;
  isReady: () => boolean;
  listEntries: (query: EntryQuery) => EntryList;
  /** Metrics in the Prometheus text format. */
  formatMetrics: () => Promise<string>;
}

const METRICS_PATH = '/metrics';
const METRICS_TYPE = 'text/plain; version=0.0.4';

const STATUS_OK = 200;
const STATUS_NOT_FOUND = 404;
const STATUS_NOT_READY = 503;

/** Serves the same paths at several addresses. */
export class StatusServer {
  private readonly servers: Server[] = [];

  constructor(private readonly options: StatusServerOptions) {}

  listen({ip, port}: SocketAddress): Promise<void> {
    const server = createServer((request, response) =>
      this.answer(request, response),
    );
    this.servers.push(server);
    return new Promise((resolve, reject) => {
      server.once('error', reject);
      server.listen({host: ip, port}, () => resolve());
    });
  }

  /** Reports a failed bind instead of rejecting: the node serves without it. */
  async tryListen(
    address: SocketAddress | null,
    onFault: (thrown: unknown) => void,
  ): Promise<void> {
    try {
      if (address) await this.listen(address);
    } catch (thrown) {
      onFault(thrown);
    }
  }

  close(): void {
    this.servers.forEach(server => {
      server.close();
      server.closeAllConnections();
    });
  }

  private answer(request: IncomingMessage, response: ServerResponse): void {
    const {platform, isReady, listEntries} = this.options;
    const [path = '', ...rest] = (request.url ?? '').split('?');
    const query = rest.join('?');
    if (path === platform.readyPath) {
      response.writeHead(isReady() ? STATUS_OK : STATUS_NOT_READY).end();
    } else if (path === platform.entriesPath) {
      const entries = listEntries(platform.readEntriesQuery(query));
      const body = platform.formatEntries(entries);
      writeBody(response, body, 'application/json');
    } else if (path === METRICS_PATH) {
      void this.options
        .formatMetrics()
        .then(text => writeBody(response, text, METRICS_TYPE));
    } else {
      response.writeHead(STATUS_NOT_FOUND).end();
    }
  }
}

function writeBody(response: ServerResponse, body: string, type: string): void {
  response
    .writeHead(STATUS_OK, {
      'Content-Type': type,
      'Content-Length': Buffer.byteLength(body),
    })
    .end(body);
}
