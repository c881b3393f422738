/** Signs and verifies connections between nodes. */
import {createHmac, randomBytes, timingSafeEqual} from 'node:crypto';
import {type IncomingHttpHeaders} from 'node:http';
import {type Clock} from '@mimosatack/clock';
import {TypedError} from '@mimosatack/errors';
import {type PeerIdentity} from './options.js';

const ADDRESS_HEADER = 'x-peer-address';
const NAME_HEADER = 'x-peer-node';
const SIGNATURE_HEADER = 'x-peer-signature';
const NONCE_BYTES = 12;
/** Maximum age of a signature, including the clock skew between two nodes. */
const MAX_AGE_MS = 60_000;
/** Bounds the memory for nonces when a peer connects repeatedly. */
const MAX_NONCES = 10_000;

/** Returns the headers that authenticate a connection of this node. */
export function createAuthHeaders(
  origin: PeerIdentity,
  clusterSecret: string,
  clock: Clock,
): Record<string, string> {
  const timeMs = String(Math.round(clock.wallMs()));
  const nonce = randomBytes(NONCE_BYTES).toString('hex');
  const mac = computeMac(clusterSecret, timeMs, nonce, origin);
  return {
    [ADDRESS_HEADER]: origin.address,
    ...createNodeNameHeader(origin.nodeName),
    [SIGNATURE_HEADER]: [timeMs, nonce, mac.toString('hex')].join('.'),
  };
}

/** Returns the header that carries the node name of the sender. */
export function createNodeNameHeader(nodeName: string): Record<string, string> {
  return {[NAME_HEADER]: encodeURIComponent(nodeName)};
}

/** Returns the node name, undecoded if its percent-encoding is invalid. */
export function parseNodeName(headers: IncomingHttpHeaders): string {
  const encodedName = readHeader(headers, NAME_HEADER);
  try {
    return decodeURIComponent(encodedName);
  } catch {
    return encodedName;
  }
}

/** Verifies the signatures of incoming connections. */
export class ConnectionVerifier {
  /** Used nonces, oldest first, with their expiry times. */
  private readonly nonces = new Map<string, number>();

  constructor(
    private readonly clusterSecret: string,
    private readonly clock: Clock,
  ) {}

  /** Returns the peer; throws `unauthorized` if its signature is invalid. */
  verify(headers: IncomingHttpHeaders): PeerIdentity {
    const origin = readOrigin(headers);
    const [timeMs = '', nonce = '', mac = ''] = readHeader(
      headers,
      SIGNATURE_HEADER,
    ).split('.');
    const expected = computeMac(this.clusterSecret, timeMs, nonce, origin);
    if (!isEqual(Buffer.from(mac, 'hex'), expected)) {
      throw createUnauthorizedError(
        origin,
        'the signature does not match',
        'Give all nodes the same cluster secret.',
      );
    }
    this.checkAge(Number(timeMs), origin);
    this.checkNonce(nonce, origin);
    return origin;
  }

  private checkAge(timeMs: number, origin: PeerIdentity): void {
    if (Math.abs(this.clock.wallMs() - timeMs) <= MAX_AGE_MS) return;
    throw createUnauthorizedError(
      origin,
      'the signature is too old',
      'Set the clocks of all hosts by one time service.',
    );
  }

  /**
   * Guards against replay of a recorded handshake: a nonce is kept for as long
   * as its signature is valid.
   */
  private checkNonce(nonce: string, origin: PeerIdentity): void {
    const nowMs = this.clock.monotonicMs();
    [...this.nonces]
      .filter(([, untilMs]) => untilMs <= nowMs)
      .forEach(([old]) => this.nonces.delete(old));
    if (this.nonces.has(nonce) || this.nonces.size >= MAX_NONCES) {
      throw createUnauthorizedError(
        origin,
        'the nonce was used',
        'Connect again.',
      );
    }
    this.nonces.set(nonce, nowMs + 2 * MAX_AGE_MS);
  }
}

function computeMac(
  clusterSecret: string,
  timeMs: string,
  nonce: string,
  {address, nodeName}: PeerIdentity,
): Buffer {
  return createHmac('sha256', clusterSecret)
    .update([timeMs, nonce, address, nodeName].join('\n'))
    .digest();
}

/** Compares in constant time, as a guard against timing attacks. */
function isEqual(given: Buffer, expected: Buffer): boolean {
  return given.length === expected.length && timingSafeEqual(given, expected);
}

function readOrigin(headers: IncomingHttpHeaders): PeerIdentity {
  return {
    address: readHeader(headers, ADDRESS_HEADER),
    nodeName: parseNodeName(headers),
  };
}

function readHeader(headers: IncomingHttpHeaders, name: string): string {
  const value = headers[name];
  return typeof value === 'string' ? value : '';
}

function createUnauthorizedError(
  {address, nodeName}: PeerIdentity,
  reason: string,
  remedy: string,
): TypedError {
  return new TypedError(
    'unauthorized',
    `A peer connection was refused: ${reason}.`,
    {remedy, info: {address, nodeName}},
  );
}
