/**
 * Fencing numbers. A number is made of the claim's epoch, the rank of the
 * holder under that claim, and a count of orders. A later claim is above
 * every successor of an earlier one, a successor above the holder before it,
 * and each order above the one before: an engine that refuses old numbers
 * turns down every order that was overtaken on the way.
 */

/** Rank 0 is the holder itself, 1 to 15 its successors. */
const RANKS = 16;
/** Orders that one holder may send under one claim. */
export const ORDERS_PER_HOLDER = 65_536;

/** The parts of a fencing number. */
export interface FencingParts {
  epoch: number;
  rank: number;
  orderCount: number;
}

/** Builds a fencing number; throws a RangeError for parts out of range. */
export function makeFencingNumber(parts: FencingParts): number {
  const {epoch, rank, orderCount} = parts;
  const isInRange =
    rank >= 0 &&
    rank < RANKS &&
    orderCount >= 0 &&
    orderCount < ORDERS_PER_HOLDER;
  const number = (epoch * RANKS + rank) * ORDERS_PER_HOLDER + orderCount;
  if (!isInRange || !Number.isSafeInteger(number)) {
    throw new RangeError(`No fencing number for ${JSON.stringify(parts)}.`);
  }
  return number;
}
