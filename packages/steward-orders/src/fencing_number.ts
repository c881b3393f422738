/**
 * Fencing numbers, ordered by the epoch of the claim, then by the rank of the
 * node under that claim, then by a count of orders. An engine that rejects
 * lower numbers than the last one therefore rejects every outdated order.
 */

/** Rank 0 is the controlling node, ranks 1 to 15 are its standbys. */
const RANKS = 16;
/** Maximum number of orders that one node may send under one claim. */
export const ORDERS_PER_HOLDER = 65_536;

export interface FencingParts {
  epoch: number;
  rank: number;
  orderCount: number;
}

/** Throws a RangeError when a part or the resulting number is out of range. */
export function makeFencingNumber(parts: FencingParts): number {
  const {epoch, rank, orderCount} = parts;
  const isInRange =
    rank >= 0 &&
    rank < RANKS &&
    orderCount >= 0 &&
    orderCount < ORDERS_PER_HOLDER;
  const number = (epoch * RANKS + rank) * ORDERS_PER_HOLDER + orderCount;
  if (!isInRange || !Number.isSafeInteger(number)) {
    throw new RangeError(
      `Fencing number parts out of range: ${JSON.stringify(parts)}.`,
    );
  }
  return number;
}
