/** Transports on loopback, for the tests of this package. */
import {SystemClock, sleep} from '@mimosatack/clock';
import {TypedError} from '@mimosatack/errors';
import * as assert from 'uvu/assert';
import * as z from 'zod';
import {
  type PeerOrigin,
  PeerTransport,
  type PeerTransportOptions,
} from './index.js';

export const HOST = '127.0.0.1';
export const SECRET = 'cluster-secret';
export const MAX_MESSAGE_BYTES = 10_000;
export const PATIENCE_MS = 10_000;

const messageSchema = z.object({text: z.string()});
export type TestMessage = z.infer<typeof messageSchema>;

export const clock = new SystemClock();
const running: Array<PeerTransport<TestMessage>> = [];

/** A running transport and what it has seen. */
export interface TestPeer {
  transport: PeerTransport<TestMessage>;
  address: string;
  received: Array<{from: PeerOrigin; text: string}>;
  faults: TypedError[];
}

/** Starts a transport that answers with what it got. */
export async function startPeer(
  nodeName: string,
  change: Partial<PeerTransportOptions<TestMessage>> = {},
): Promise<TestPeer> {
  const received: TestPeer['received'] = [];
  const faults: TypedError[] = [];
  const transport = new PeerTransport<TestMessage>({
    listenHost: HOST,
    listenPort: 0,
    nodeName,
    clusterSecret: SECRET,
    clock,
    maxConnections: 10,
    maxMessageBytes: MAX_MESSAGE_BYTES,
    requestTimeoutMs: PATIENCE_MS,
    schema: messageSchema,
    onMessage: (from, {text}) => {
      received.push({from, text});
      return {text: `${nodeName} got ${text}`};
    },
    onFault: error => faults.push(error),
    ...change,
  });
  running.push(transport);
  const {port} = await transport.start();
  return {transport, address: `${HOST}:${port}`, received, faults};
}

/** Waits until it is so, for a generous while. */
export async function waitFor(isSo: () => boolean): Promise<void> {
  const limitMs = clock.monotonicMs() + PATIENCE_MS;
  while (!isSo()) {
    assert.ok(clock.monotonicMs() < limitMs, 'the condition came to hold');
    await sleep(clock, 5);
  }
}

/** The typed error that a promise rejects with. */
export async function catchError(
  promise: Promise<unknown>,
): Promise<TypedError> {
  try {
    await promise;
  } catch (thrown) {
    if (thrown instanceof TypedError) return thrown;
    throw thrown;
  }
  throw new Error('The promise did not reject.');
}

/** Stops all transports that were started. */
export async function stopAll(): Promise<void> {
  await Promise.all(running.splice(0).map(transport => transport.stop()));
}
