/** Answers whether the node is ready, and where callers may connect. */
import {
  type IncomingMessage,
  type ServerResponse,
  createServer,
} from 'node:http';
import {type SocketAddress} from '@mimosatack/types';
import fastify, {type FastifyInstance} from 'fastify';
import {type EntryList} from './entry_list.js';
import {type PlatformAdapter} from './platform_adapter.js';

/** What the server is built from. */
export interface StatusServerOptions {
  platform: Pick<
    PlatformAdapter,
    'readyPath' | 'entriesPath' | 'formatEntries'
  >;
  isReady: () => boolean;
  listEntries: () => EntryList;
}

/** One set of routes, reachable at several addresses. */
export class StatusServer {
  private readonly app: FastifyInstance;

  constructor(private readonly options: StatusServerOptions) {
    const {platform, isReady, listEntries} = options;
    this.app = fastify();
    this.app.get(platform.readyPath, async (_request, reply) =>
      reply.code(isReady() ? 200 : 503).send(),
    );
    this.app.get(platform.entriesPath, async (_request, reply) =>
      reply
        .type('application/json')
        .send(platform.formatEntries(listEntries())),
    );
  }

  async listen({ip, port}: SocketAddress): Promise<void> {
    await this.app.ready();
    const server = createServer(
      (request: IncomingMessage, response: ServerResponse) =>
        this.app.routing(request, response),
    );
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen({host: ip, port}, () => resolve());
    });
  }
}
