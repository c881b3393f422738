/** Signs and checks connections between nodes. */
import {createHmac, randomBytes, timingSafeEqual} from 'node:crypto';
import {type IncomingHttpHeaders} from 'node:http';
import {type Clock} from '@mimosatack/clock';
import {TypedError} from '@mimosatack/errors';
import {type PeerOrigin} from './options.js';

const ADDRESS_HEADER = 'x-peer-address';
const NAME_HEADER = 'x-peer-node';
const SIGNATURE_HEADER = 'x-peer-signature';
const NONCE_BYTES = 12;
/** How far the clocks of two nodes may differ, delays included. */
const MAX_AGE_MS = 60_000;
/** Bounds the nonces kept, also if a peer connects over and over. */
const MAX_NONCES = 10_000;

/** Signs the connections a node opens. */
export function signConnection(
  origin: PeerOrigin,
  clusterSecret: string,
  clock: Clock,
): Record<string, string> {
  const timeMs = String(Math.round(clock.wallMs()));
  const nonce = randomBytes(NONCE_BYTES).toString('hex');
  const code = computeCode(clusterSecret, timeMs, nonce, origin);
  return {
    [ADDRESS_HEADER]: origin.address,
    ...writeNodeName(origin.nodeName),
    [SIGNATURE_HEADER]: [timeMs, nonce, code.toString('hex')].join('.'),
  };
}

/** The header in which either side names itself. */
export function writeNodeName(nodeName: string): Record<string, string> {
  return {[NAME_HEADER]: encodeURIComponent(nodeName)};
}

/** The name in that header; a header that can't be decoded is taken as is. */
export function readNodeName(headers: IncomingHttpHeaders): string {
  const encodedName = readHeader(headers, NAME_HEADER);
  try {
    return decodeURIComponent(encodedName);
  } catch {
    return encodedName;
  }
}

/** Checks the connections a node accepts. */
export class ConnectionVerifier {
  /** Nonces in use, oldest first, with the time they stop to matter. */
  private readonly nonces = new Map<string, number>();

  constructor(
    private readonly clusterSecret: string,
    private readonly clock: Clock,
  ) {}

  /** Returns who connects; throws `unauthorized` if that is not proven. */
  verify(headers: IncomingHttpHeaders): PeerOrigin {
    const origin = readOrigin(headers);
    const [timeMs = '', nonce = '', code = ''] = readHeader(
      headers,
      SIGNATURE_HEADER,
    ).split('.');
    const expected = computeCode(this.clusterSecret, timeMs, nonce, origin);
    if (!isSame(Buffer.from(code, 'hex'), expected)) {
      throw makeRefusal(
        origin,
        'the signature does not match',
        'Give all nodes the same cluster secret.',
      );
    }
    this.checkAge(Number(timeMs), origin);
    this.checkNonce(nonce, origin);
    return origin;
  }

  private checkAge(timeMs: number, origin: PeerOrigin): void {
    if (Math.abs(this.clock.wallMs() - timeMs) <= MAX_AGE_MS) return;
    throw makeRefusal(
      origin,
      'the signature is too old',
      'Set the clocks of all hosts by one time service.',
    );
  }

  /**
   * Guards against a recorded handshake being played back: within the time
   * for which its signature holds, its nonce is known here.
   */
  private checkNonce(nonce: string, origin: PeerOrigin): void {
    const nowMs = this.clock.monotonicMs();
    [...this.nonces]
      .filter(([, untilMs]) => untilMs <= nowMs)
      .forEach(([old]) => this.nonces.delete(old));
    if (this.nonces.has(nonce) || this.nonces.size >= MAX_NONCES) {
      throw makeRefusal(origin, 'the nonce was used', 'Connect again.');
    }
    this.nonces.set(nonce, nowMs + 2 * MAX_AGE_MS);
  }
}

function computeCode(
  clusterSecret: string,
  timeMs: string,
  nonce: string,
  {address, nodeName}: PeerOrigin,
): Buffer {
  return createHmac('sha256', clusterSecret)
    .update([timeMs, nonce, address, nodeName].join('\n'))
    .digest();
}

/** Compares in constant time, so that the time taken tells nothing. */
function isSame(given: Buffer, expected: Buffer): boolean {
  return given.length === expected.length && timingSafeEqual(given, expected);
}

function readOrigin(headers: IncomingHttpHeaders): PeerOrigin {
  return {
    address: readHeader(headers, ADDRESS_HEADER),
    nodeName: readNodeName(headers),
  };
}

function readHeader(headers: IncomingHttpHeaders, name: string): string {
  const value = headers[name];
  return typeof value === 'string' ? value : '';
}

function makeRefusal(
  {address, nodeName}: PeerOrigin,
  reason: string,
  remedy: string,
): TypedError {
  return new TypedError(
    'unauthorized',
    `A peer connection was refused: ${reason}.`,
    {remedy, info: {address, nodeName}},
  );
}
