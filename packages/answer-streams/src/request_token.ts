/**
 * Request tokens: all that a node needs to go on with an answer that another
 * node began, signed, so that nothing has to be kept or agreed for it.
 */
import {createHmac, timingSafeEqual} from 'node:crypto';
import {type BackendServerId, type NodeIncarnation} from '@mimosatack/types';
import {z} from 'zod';

/** What a token says. */
export interface RequestToken {
  /** The backend server that runs the request. */
  backendServerId: BackendServerId;
  /** The id by which the engine knows the request. */
  engineRequestId: string;
  /** After this time by the wall clock the token is of no use. */
  expiresAtMs: number;
  /** The process that took the request. */
  entryIncarnation: NodeIncarnation;
}

const TOKEN_FORM = 'r1';
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

/** Makes and reads request tokens under the cluster secret. */
export class RequestTokenMint {
  constructor(private readonly secret: string) {}

  make(token: RequestToken, team: string): string {
    const content = JSON.stringify([
      token.backendServerId,
      token.engineRequestId,
      token.expiresAtMs,
      token.entryIncarnation,
      this.hashTeam(team),
    ]);
    const payload = Buffer.from(content).toString('base64url');
    return `${TOKEN_FORM}.${payload}.${this.sign(payload)}`;
  }

  /**
   * What the token says, or null. Forged, expired and another team's look the
   * same, so that nobody learns from the answer which requests exist.
   */
  read(text: string, team: string, nowMs: number): RequestToken | null {
    const [form, payload, mac, ...rest] = text.split('.');
    const isShaped =
      text.length <= MAX_TOKEN_CHARS &&
      form === TOKEN_FORM &&
      rest.length === 0;
    if (!isShaped || !payload || !mac) return null;
    if (!isSame(mac, this.sign(payload))) return null;
    const parsed = contentSchema.safeParse(parsePayload(payload));
    if (!parsed.success) return null;
    const [backendServerId, engineRequestId, expiresAtMs, entry, teamHash] =
      parsed.data;
    const isValid =
      isSame(teamHash, this.hashTeam(team)) && nowMs < expiresAtMs;
    return isValid
      ? {backendServerId, engineRequestId, expiresAtMs, entryIncarnation: entry}
      : null;
  }

  private hashTeam(team: string): string {
    return this.mac(`team ${team}`).slice(0, TEAM_HASH_CHARS);
  }

  private sign(payload: string): string {
    return this.mac(`${TOKEN_FORM} ${payload}`).slice(0, MAC_CHARS);
  }

  private mac(text: string): string {
    return createHmac('sha256', this.secret)
      .update(`request-token ${text}`)
      .digest('base64url');
  }
}

function isSame(given: string, expected: string): boolean {
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
