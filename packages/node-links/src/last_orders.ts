/** Decodes the `last-orders` message of a holder that stops scheduling. */
import {type Clock} from '@mimosatack/clock';
import {type LastOrders} from '@mimosatack/hold-duty';
import {type LastOrdersMessage} from './messages.js';

/**
 * Converts the ages in the message to times of this node's clock. Returns null for the
 * message of an earlier release, which lacks the orders of earlier holders.
 */
export function toLastOrders(
  message: LastOrdersMessage,
  clock: Clock,
): LastOrders | null {
  const {incarnation, orders, anyEngineAgeMs, successorToken} = message;
  if (!message.isComplete) return null;
  const nowMs = clock.monotonicMs();
  return {
    ...{incarnation, successorToken},
    anyTargetAtMs: anyEngineAgeMs === null ? -Infinity : nowMs - anyEngineAgeMs,
    atMsByTarget: new Map(
      orders.map(({engineId, ageMs}) => [engineId, nowMs - ageMs]),
    ),
  };
}
