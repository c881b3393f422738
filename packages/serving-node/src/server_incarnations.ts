/** Rejects entries that a backend server's earlier process wrote. */
import {
  type BackendServerId,
  type ServerStartMs,
  compareIncarnations,
} from '@mimosatack/types';

/** Start times that the entries of one server gave. */
interface KnownIncarnation {
  startedAtMs: ServerStartMs;
  /** Earlier start time in the last entry, which was rejected. */
  rejectedStartMs: ServerStartMs;
}

/**
 * Servers stay tracked after their entries are deleted, because a delayed write
 * may follow. Allows three ids for each server at the target size.
 */
const MAX_TRACKED_SERVERS = 2_000;

/**
 * Guards against a delayed entry of a process that has crashed, which names
 * models that the restarted server no longer holds. A server whose host's clock
 * was set back reports an earlier start too, but keeps writing, so the second
 * such entry in a row is accepted.
 */
export class ServerIncarnations {
  private readonly lives = new Map<BackendServerId, KnownIncarnation>();

  /** Whether an entry may replace the known one. */
  accepts(id: BackendServerId, startedAtMs: ServerStartMs): boolean {
    const known = this.lives.get(id);
    const order = compareIncarnations(startedAtMs, known?.startedAtMs ?? null);
    if (known && order === 'earlier' && known.rejectedStartMs !== startedAtMs) {
      known.rejectedStartMs = startedAtMs;
      return false;
    }
    this.track(id, startedAtMs ?? known?.startedAtMs ?? null);
    return true;
  }

  private track(id: BackendServerId, startedAtMs: ServerStartMs): void {
    this.lives.delete(id);
    this.lives.set(id, {startedAtMs, rejectedStartMs: null});
    const [oldest] = this.lives.keys();
    if (this.lives.size > MAX_TRACKED_SERVERS && oldest !== undefined) {
      this.lives.delete(oldest);
    }
  }
}
