/**
 * Signed request tokens. A token holds all that a node needs to resume a
 * response from another node, so that nodes share no state for it.
 */
import {createHmac, timingSafeEqual} from 'node:crypto';
import {type BackendServerId, type NodeIncarnation} from '@mimosatack/types';
import {z} from 'zod';

export interface RequestToken {
  /** The backend server that runs the request. */
  backendServerId: BackendServerId;
  /** The id by which the engine knows the request. */
  engineRequestId: string;
  /** Wall-clock time from which the token is rejected. */
  expiresAtMs: number;
  /** The node process that received the request. */
  entryIncarnation: NodeIncarnation;
}

const TOKEN_VERSION = 'r1';
const MAC_CHARS = 22;
const TEAM_HASH_CHARS = 16;
const MAX_TOKEN_CHARS = 1024;

const contentSchema = z.tuple([
  z.string().min(1),
  z.string().min(1),
  z.number(),
  z.string(),
  z.string(),
]);

/** Signs and verifies request tokens with the cluster secret. */
export class RequestTokenSigner {
  constructor(private readonly secret: string) {}

  issue(token: RequestToken, team: string): string {
    const content = JSON.stringify([
      token.backendServerId,
      token.engineRequestId,
      token.expiresAtMs,
      token.entryIncarnation,
      this.hashTeam(team),
    ]);
    const payload = Buffer.from(content).toString('base64url');
    return `${TOKEN_VERSION}.${payload}.${this.sign(payload)}`;
  }

  /**
   * Returns null alike for forged, expired and other teams' tokens, so that a
   * caller cannot find out which requests exist.
   */
  verify(text: string, team: string, nowMs: number): RequestToken | null {
    const [version, payload, mac, ...rest] = text.split('.');
    const hasValidShape =
      text.length <= MAX_TOKEN_CHARS &&
      version === TOKEN_VERSION &&
      rest.length === 0;
    if (!hasValidShape || !payload || !mac) return null;
    if (!isEqualInConstantTime(mac, this.sign(payload))) return null;
    const parsed = contentSchema.safeParse(parsePayload(payload));
    if (!parsed.success) return null;
    const [backendServerId, engineRequestId, expiresAtMs, entry, teamHash] =
      parsed.data;
    const isValid =
      isEqualInConstantTime(teamHash, this.hashTeam(team)) &&
      nowMs < expiresAtMs;
    return isValid
      ? {backendServerId, engineRequestId, expiresAtMs, entryIncarnation: entry}
      : null;
  }

  private hashTeam(team: string): string {
    return this.computeMac(`team ${team}`).slice(0, TEAM_HASH_CHARS);
  }

  private sign(payload: string): string {
    return this.computeMac(`${TOKEN_VERSION} ${payload}`).slice(0, MAC_CHARS);
  }

  private computeMac(text: string): string {
    return createHmac('sha256', this.secret)
      .update(`request-token ${text}`)
      .digest('base64url');
  }
}

function isEqualInConstantTime(given: string, expected: string): boolean {
  const [a, b] = [Buffer.from(given), Buffer.from(expected)];
  return a.length === b.length && timingSafeEqual(a, b);
}

function parsePayload(payload: string): unknown {
  try {
    return JSON.parse(Buffer.from(payload, 'base64url').toString('utf8'));
  } catch {
    return undefined;
  }
}
