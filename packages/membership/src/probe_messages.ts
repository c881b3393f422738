/** Builds the messages of probing, with the updates that ride on them. */
import {type Gossip} from './gossip.js';
import {type MemberUpdate} from './member.js';
import {type OutgoingMessage} from './messages.js';

/** Asks a node for a sign of life; `rumors` are told to it first. */
export function makeProbe(
  gossip: Gossip,
  toAddress: string,
  sequence: number,
  rumors: readonly MemberUpdate[] = [],
): OutgoingMessage {
  const updates = gossip.pickUpdates(toAddress, rumors);
  return {toAddress, message: {type: 'probe', sequence, updates}};
}

/** Asks a node to probe another. */
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

/** Answers a probe for the life that began at `startedAtMs`. */
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
