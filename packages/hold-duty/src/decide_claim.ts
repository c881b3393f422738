/** Decides when a node claims a duty. */

/** The state of the holder as a node's own connections show it. */
export type HolderContact =
  /** A heartbeat was exchanged recently. */
  | 'alive'
  /** No heartbeat was exchanged for some time. */
  | 'silent'
  /** Its address refuses connections: a crash, or a fault of the network. */
  | 'gone'
  /** Its process has exited: announced, or replaced at its address. */
  | 'ended';

export interface DutyView {
  /** Null when no holder was ever recorded. */
  holder: {isSelf: boolean; contact: HolderContact} | null;
  /** Time since `contact` changed. */
  contactForMs: number;
  /** Number of live nodes that claim before this one. */
  rank: number;
  /** Whether any other node still reaches the holder. */
  isReachedByOthers: boolean;
}

/** Delay per rank, so that the first claim usually succeeds before the next. */
const CLAIM_STAGGER_MS = 150;
/** Longer than a short freeze or network fault; several heartbeats long. */
const SILENCE_TIMEOUT_MS = 1_200;

/** Returns whether this node is to claim the duty now. */
export function decideClaim(view: DutyView): boolean {
  const {holder, contactForMs, rank, isReachedByOthers} = view;
  const waitMs = rank * CLAIM_STAGGER_MS;
  if (!holder) return contactForMs >= waitMs;
  if (holder.isSelf || holder.contact === 'alive') return false;
  if (holder.contact === 'gone' || holder.contact === 'ended') {
    return contactForMs >= waitMs;
  }
  return !isReachedByOthers && contactForMs >= SILENCE_TIMEOUT_MS + waitMs;
}
