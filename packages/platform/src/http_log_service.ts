import {type LogOffset} from '@mimosatack/types';
import {Agent} from 'undici';
import {z} from 'zod';
import {exchangeJson} from './http_exchange.js';
import {
  type LogPage,
  type LogReadRequest,
  type LogService,
} from './interfaces.js';

const appendResponseSchema = z.object({offset: z.number().int().min(0)});

const readResponseSchema = z.object({
  firstOffset: z.number().int().min(0),
  nextOffset: z.number().int().min(0),
  records: z.array(
    z.object({offset: z.number().int().min(0), data: z.base64()}),
  ),
});

export interface HttpLogServiceOptions {
  baseUrl: string;
  /** Sent as `x-node-id`. */
  nodeId: string;
  timeoutMs: number;
  /**
   * Must exceed the number of streams read concurrently, because each read at
   * the end of a stream occupies a connection. Defaults to 8.
   */
  connections?: number;
}

const DEFAULT_CONNECTIONS = 8;

/** HTTP client for the log service; see docs/design/platform_interfaces.md. */
export class HttpLogService implements LogService {
  private readonly agent: Agent;

  constructor(private readonly options: HttpLogServiceOptions) {
    const connections = options.connections ?? DEFAULT_CONNECTIONS;
    this.agent = new Agent({connections});
  }

  async append(stream: string, data: Uint8Array): Promise<LogOffset> {
    const response = await exchangeJson(
      {
        ...this.requestDefaults(),
        path: `/v1/streams/${encodeURIComponent(stream)}/records`,
        method: 'POST',
        body: data,
        contentType: 'application/octet-stream',
      },
      appendResponseSchema,
    );
    return response.offset;
  }

  async read(request: LogReadRequest): Promise<LogPage> {
    const query = `from=${request.from}&limit=${request.limit}&waitMs=${request.waitMs}`;
    const page = await exchangeJson(
      {
        ...this.requestDefaults(),
        path: `/v1/streams/${encodeURIComponent(request.stream)}/records?${query}`,
        method: 'GET',
        timeoutMs: this.options.timeoutMs + request.waitMs,
        signal: request.signal,
      },
      readResponseSchema,
    );
    return {
      ...page,
      records: page.records.map(record => ({
        offset: record.offset,
        data: Buffer.from(record.data, 'base64'),
      })),
    };
  }

  async close(): Promise<void> {
    await this.agent.destroy();
  }

  private requestDefaults() {
    return {
      system: 'log service',
      baseUrl: this.options.baseUrl,
      timeoutMs: this.options.timeoutMs,
      headers: {'x-node-id': this.options.nodeId},
      dispatcher: this.agent,
      unreachableKind: 'platform-unavailable' as const,
    };
  }
}
