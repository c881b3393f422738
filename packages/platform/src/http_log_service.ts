import {type LogOffset} from '@mimosatack/types';
import {Agent} from 'undici';
import {z} from 'zod';
import {exchangeJson} from './http_exchange.js';
import {
  type LogPage,
  type LogReadRequest,
  type LogService,
} from './interfaces.js';

const appendAnswer = z.object({offset: z.number().int().min(0)});

const readAnswer = z.object({
  firstOffset: z.number().int().min(0),
  nextOffset: z.number().int().min(0),
  records: z.array(
    z.object({offset: z.number().int().min(0), data: z.base64()}),
  ),
});

/** Where the log service is and who asks. */
export interface HttpLogServiceOptions {
  baseUrl: string;
  /** Sent as `x-node-id`. */
  nodeId: string;
  timeoutMs: number;
  /**
   * Must be above the number of streams that are read at once, since each
   * read at the end of a stream holds a connection; 8 when left out.
   */
  connections?: number;
}

const DEFAULT_CONNECTIONS = 8;

/** The log service over HTTP; docs/design/platform_interfaces.md. */
export class HttpLogService implements LogService {
  private readonly agent: Agent;

  constructor(private readonly options: HttpLogServiceOptions) {
    const connections = options.connections ?? DEFAULT_CONNECTIONS;
    this.agent = new Agent({connections});
  }

  async append(stream: string, data: Uint8Array): Promise<LogOffset> {
    const answer = await exchangeJson(
      {
        ...this.base(),
        path: `/v1/streams/${encodeURIComponent(stream)}/records`,
        method: 'POST',
        body: data,
        contentType: 'application/octet-stream',
      },
      appendAnswer,
    );
    return answer.offset;
  }

  async read(request: LogReadRequest): Promise<LogPage> {
    const query = `from=${request.from}&limit=${request.limit}&waitMs=${request.waitMs}`;
    const page = await exchangeJson(
      {
        ...this.base(),
        path: `/v1/streams/${encodeURIComponent(request.stream)}/records?${query}`,
        method: 'GET',
        timeoutMs: this.options.timeoutMs + request.waitMs,
        signal: request.signal,
      },
      readAnswer,
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

  private base() {
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
