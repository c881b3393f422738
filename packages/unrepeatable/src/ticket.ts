/**
 * Tickets are idempotency keys that are bound to one incarnation of a process.
 * Only that process runs them, so nodes need no coordination.
 */
import {createHmac, timingSafeEqual} from 'node:crypto';
import {type NodeIncarnation} from '@mimosatack/types';

/** Marks a ticket and its format version; other keys are chosen by callers. */
const TICKET_FORMAT = 't1';
const MAC_LENGTH = 22;
const SEPARATOR = '~';
const GENERATION_PATTERN = /^(0|[1-9]\d{0,9})$/;

/** The content of a ticket key. */
export interface Ticket {
  incarnation: NodeIncarnation;
  /** The generation in which the prefix was issued. */
  generation: number;
  /** The part that the caller chose. */
  suffix: string;
}

export type TicketReading =
  | {status: 'ticket'; ticket: Ticket}
  | {status: 'not-a-ticket'}
  | {status: 'forged'};

/** Creates and verifies ticket prefixes with the cluster secret. */
export class TicketSigner {
  constructor(private readonly secret: string) {}

  /** Creates the prefix of keys that the process `incarnation` runs. */
  makePrefix(incarnation: NodeIncarnation, generation: number): string {
    const mac = this.sign(incarnation, String(generation));
    return [TICKET_FORMAT, incarnation, generation, mac, ''].join(SEPARATOR);
  }

  /** Guards against a raised generation, which would make an old key run again. */
  read(key: string): TicketReading {
    const [format, incarnation, generation, mac, ...rest] =
      key.split(SEPARATOR);
    if (format !== TICKET_FORMAT) return {status: 'not-a-ticket'};
    const suffix = rest.join(SEPARATOR);
    const isComplete = incarnation && generation && mac && suffix !== '';
    if (!isComplete || !GENERATION_PATTERN.test(generation)) {
      return {status: 'forged'};
    }
    if (!equalsInConstantTime(this.sign(incarnation, generation), mac)) {
      return {status: 'forged'};
    }
    return {
      status: 'ticket',
      ticket: {incarnation, generation: Number(generation), suffix},
    };
  }

  private sign(incarnation: string, generation: string): string {
    return createHmac('sha256', this.secret)
      .update([TICKET_FORMAT, incarnation, generation].join(SEPARATOR))
      .digest('base64url')
      .slice(0, MAC_LENGTH);
  }
}

function equalsInConstantTime(expected: string, given: string): boolean {
  const expectedBytes = Buffer.from(expected);
  const givenBytes = Buffer.from(given);
  return (
    expectedBytes.length === givenBytes.length &&
    timingSafeEqual(expectedBytes, givenBytes)
  );
}
