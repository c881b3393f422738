/** Decodes the `last-orders` message of a holder that stops scheduling. */
import {type Clock} from '@mimosatack/clock';
import {type LastOrders} from '@mimosatack/hold-duty';
import {type LastOrdersMessage} from './messages.js';

/** Converts the ages in the message to times of this node's clock. */
export function toLastOrders(
  {incarnation, orders}: LastOrdersMessage,
  clock: Clock,
): LastOrders {
  const nowMs = clock.monotonicMs();
  return {
    incarnation,
    atMsByTarget: new Map(
      orders.map(({engineId, ageMs}) => [engineId, nowMs - ageMs]),
    ),
  };
}
