/**
 * Incarnations of backend servers. A server that crashes may restart under the
 * same id, without any state of its previous incarnation.
 */

/** Unix time of a server's start; null if the server does not report it. */
export type ServerStartMs = number | null;

/** The order of a reported incarnation relative to the known one. */
export type IncarnationOrder = 'same' | 'later' | 'earlier';

/** Compares two incarnations; one without a start time counts as the same. */
export function compareIncarnations(
  reported: ServerStartMs,
  known: ServerStartMs,
): IncarnationOrder {
  if (reported === null || known === null || reported === known) return 'same';
  return reported > known ? 'later' : 'earlier';
}
