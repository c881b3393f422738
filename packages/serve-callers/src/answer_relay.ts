/** Passes answers on to callers no faster than they read. */
import {once} from 'node:events';
import {TypedError, formatErrorBody} from '@mimosatack/errors';
import {type FastifyReply} from 'fastify';

/** A streamed answer whose first part has come. */
export interface BegunStream {
  first: Buffer;
  rest: AsyncIterator<Buffer>;
  contentType: string;
  requestId: string;
}

/** Takes the first part of a stream; rejects when it ends without any. */
export async function beginStream(
  body: AsyncIterable<Buffer>,
): Promise<Pick<BegunStream, 'first' | 'rest'>> {
  const rest = body[Symbol.asyncIterator]();
  const result = await rest.next();
  if (!result.done) return {first: result.value, rest};
  throw new TypedError('backend-failed', 'The engine sent an empty stream.', {
    run: 'unknown',
  });
}

/**
 * Writes a stream to the caller. A slow caller holds up the reading from the
 * engine, so that at most a few parts are in memory. A stream that breaks ends
 * with an event that says so, never like one that is whole.
 */
export async function relayStream(
  stream: BegunStream,
  reply: FastifyReply,
  signal: AbortSignal,
): Promise<void> {
  reply.hijack();
  reply.raw.writeHead(200, {
    'content-type': stream.contentType,
    'cache-control': 'no-cache',
    'x-request-id': stream.requestId,
  });
  try {
    await writeAll(stream, reply, signal);
    reply.raw.end();
  } catch (thrown) {
    if (signal.aborted) throw thrown;
    const broken = new TypedError(
      'stream-broken',
      'The answer broke off at the engine.',
      {run: 'unknown', cause: thrown instanceof Error ? thrown : undefined},
    );
    const event = JSON.stringify(formatErrorBody(broken));
    reply.raw.end(`event: error\ndata: ${event}\n\n`);
    throw broken;
  }
}

async function writeAll(
  {first, rest}: BegunStream,
  {raw}: FastifyReply,
  signal: AbortSignal,
): Promise<void> {
  let chunk: Buffer | null = first;
  while (chunk) {
    signal.throwIfAborted();
    if (!raw.write(chunk)) await once(raw, 'drain', {signal});
    const result: IteratorResult<Buffer> = await rest.next();
    chunk = result.done ? null : result.value;
  }
}
