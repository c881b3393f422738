/** What a holder that orders no more tells the others, and how they take it. */
import {type Clock} from '@mimosatack/clock';
import {type LastOrders} from '@mimosatack/hold-duty';
import {type LastOrdersMessage} from './messages.js';

/** The times are told as spans, since the clocks of two nodes differ. */
export function readLastOrders(
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
