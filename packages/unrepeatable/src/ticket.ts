/**
 * Tickets: idempotency keys that are bound to one life of one process. Only
 * that process runs them, so no agreement between nodes is needed.
 */
import {createHmac, timingSafeEqual} from 'node:crypto';
import {type NodeIncarnation} from '@mimosatack/types';

/** The form of ticket prefixes; other texts are keys of the caller's own. */
const TICKET_FORM = 't1';
const MAC_CHARS = 22;
const SEPARATOR = '~';

/** What a ticket key says. */
export interface Ticket {
  incarnation: NodeIncarnation;
  /** The part that the caller chose. */
  suffix: string;
}

export type TicketReading =
  | {status: 'ticket'; ticket: Ticket}
  | {status: 'not-a-ticket'}
  | {status: 'forged'};

/** Makes and reads ticket prefixes under the cluster secret. */
export class TicketMint {
  constructor(private readonly secret: string) {}

  /** The prefix of all keys that the given process may run. */
  makePrefix(incarnation: NodeIncarnation): string {
    return [TICKET_FORM, incarnation, this.sign(incarnation), ''].join(
      SEPARATOR,
    );
  }

  read(key: string): TicketReading {
    const [form, incarnation, mac, ...rest] = key.split(SEPARATOR);
    if (form !== TICKET_FORM) return {status: 'not-a-ticket'};
    const suffix = rest.join(SEPARATOR);
    if (!incarnation || !mac || suffix === '') return {status: 'forged'};
    if (!this.isSigned(incarnation, mac)) return {status: 'forged'};
    return {status: 'ticket', ticket: {incarnation, suffix}};
  }

  private isSigned(incarnation: string, mac: string): boolean {
    const expected = Buffer.from(this.sign(incarnation));
    const given = Buffer.from(mac);
    return expected.length === given.length && timingSafeEqual(expected, given);
  }

  private sign(incarnation: string): string {
    return createHmac('sha256', this.secret)
      .update(`${TICKET_FORM} ${incarnation}`)
      .digest('base64url')
      .slice(0, MAC_CHARS);
  }
}
