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
const GENERATION_FORM = /^(0|[1-9]\d{0,9})$/;

/** What a ticket key says. */
export interface Ticket {
  incarnation: NodeIncarnation;
  /** When its prefix was given out. */
  generation: number;
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

  /** The prefix of the keys that the given process runs while it keeps them. */
  makePrefix(incarnation: NodeIncarnation, generation: number): string {
    const mac = this.sign(incarnation, String(generation));
    return [TICKET_FORM, incarnation, generation, mac, ''].join(SEPARATOR);
  }

  /** A generation that no node has given out has no valid signature. */
  read(key: string): TicketReading {
    const [form, incarnation, generation, mac, ...rest] = key.split(SEPARATOR);
    if (form !== TICKET_FORM) return {status: 'not-a-ticket'};
    const suffix = rest.join(SEPARATOR);
    const isWhole = incarnation && generation && mac && suffix !== '';
    if (!isWhole || !GENERATION_FORM.test(generation)) {
      return {status: 'forged'};
    }
    if (!isEqualText(this.sign(incarnation, generation), mac)) {
      return {status: 'forged'};
    }
    return {
      status: 'ticket',
      ticket: {incarnation, generation: Number(generation), suffix},
    };
  }

  private sign(incarnation: string, generation: string): string {
    return createHmac('sha256', this.secret)
      .update([TICKET_FORM, incarnation, generation].join(SEPARATOR))
      .digest('base64url')
      .slice(0, MAC_CHARS);
  }
}

function isEqualText(expected: string, given: string): boolean {
  const expectedBytes = Buffer.from(expected);
  const givenBytes = Buffer.from(given);
  return (
    expectedBytes.length === givenBytes.length &&
    timingSafeEqual(expectedBytes, givenBytes)
  );
}
