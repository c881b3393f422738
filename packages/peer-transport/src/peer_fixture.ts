/** Test fixture that runs transports on the loopback interface. */
import {SystemClock, sleep} from '@mimosatack/clock';
import {TypedError} from '@mimosatack/errors';
import * as assert from 'uvu/assert';
import * as z from 'zod';
import {
  type PeerIdentity,
  PeerTransport,
  type PeerTransportOptions,
} from './index.js';

export const HOST = '127.0.0.1';
export const SECRET = 'cluster-secret';
export const MAX_MESSAGE_BYTES = 10_000;
export const TIMEOUT_MS = 10_000;

const messageSchema = z.object({text: z.string()});
export type TestMessage = z.infer<typeof messageSchema>;

export const clock = new SystemClock();
const running: Array<PeerTransport<TestMessage>> = [];

/** A running transport with its received messages and reported errors. */
export interface TestPeer {
  transport: PeerTransport<TestMessage>;
  address: string;
  received: Array<{from: PeerIdentity; text: string}>;
  faults: TypedError[];
}

/** Starts a transport that echoes requests. */
export async function startPeer(
  nodeName: string,
  overrides: Partial<PeerTransportOptions<TestMessage>> = {},
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
    requestTimeoutMs: TIMEOUT_MS,
    schema: messageSchema,
    onMessage: (from, {text}) => {
      received.push({from, text});
      return {text: `${nodeName} got ${text}`};
    },
    onFault: error => faults.push(error),
    ...overrides,
  });
  running.push(transport);
  const {port} = await transport.start();
  return {transport, address: `${HOST}:${port}`, received, faults};
}

/** Polls until the condition holds; fails after `TIMEOUT_MS`. */
export async function waitFor(condition: () => boolean): Promise<void> {
  const limitMs = clock.monotonicMs() + TIMEOUT_MS;
  while (!condition()) {
    assert.ok(
      clock.monotonicMs() < limitMs,
      'the condition did not hold in time',
    );
    await sleep(clock, 5);
  }
}

/** Returns the typed error that a promise rejects with. */
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

/** Stops all transports that `startPeer` started. */
export async function stopAll(): Promise<void> {
  await Promise.all(running.splice(0).map(transport => transport.stop()));
}
