/** Builds probe messages with piggybacked updates. */
import {type Gossip} from './gossip.js';
import {type MemberUpdate} from './member.js';
import {type OutgoingMessage} from './messages.js';

/** `leadingUpdates` are placed before the queued updates. */
export function makeProbe(
  gossip: Gossip,
  toAddress: string,
  sequence: number,
  leadingUpdates: readonly MemberUpdate[] = [],
): OutgoingMessage {
  const updates = gossip.pickUpdates(toAddress, leadingUpdates);
  return {toAddress, message: {type: 'probe', sequence, updates}};
}

/** Asks the receiver to probe `targetAddress`. */
export function makeProbeRequest(
  gossip: Gossip,
  toAddress: string,
  sequence: number,
  targetAddress: string,
): OutgoingMessage {
  const updates = gossip.pickUpdates(toAddress);
  return {
    toAddress,
    message: {type: 'probe-request', sequence, targetAddress, updates},
  };
}

/** Acknowledges a probe for the process that started at `startedAtMs`. */
export function makeProbeAck(
  gossip: Gossip,
  toAddress: string,
  sequence: number,
  startedAtMs: number,
): OutgoingMessage {
  const updates = gossip.pickUpdates(toAddress);
  return {
    toAddress,
    message: {type: 'probe-ack', sequence, startedAtMs, updates},
  };
}
