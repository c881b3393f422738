/** Backend servers that are leaving, from the host list or from hints. */
import {type BackendServerId} from '@mimosatack/types';

/** Time after which a hint expires. */
const HINT_TTL_MS = 600_000;

/**
 * Combines the host list with hints. A hint takes precedence over a list that
 * shows the server as live, since the list lags behind.
 */
export class LeavingSet {
  private listed: ReadonlySet<BackendServerId> = new Set();
  private readonly hintedAtMs = new Map<BackendServerId, number>();

  setListed(ids: readonly BackendServerId[]): void {
    this.listed = new Set(ids);
  }

  /** Records a hint; returns whether the server was not known to be leaving. */
  noteHint(id: BackendServerId, nowMs: number): boolean {
    const isNew = !this.has(id, nowMs);
    this.hintedAtMs.set(id, nowMs);
    return isNew;
  }

  has(id: BackendServerId, nowMs: number): boolean {
    if (this.listed.has(id)) return true;
    const hintedAtMs = this.hintedAtMs.get(id);
    return hintedAtMs !== undefined && nowMs - hintedAtMs < HINT_TTL_MS;
  }

  forget(id: BackendServerId): void {
    this.hintedAtMs.delete(id);
  }
}
