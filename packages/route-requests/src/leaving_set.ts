/** Backend servers that are leaving, from any source. */
import {type BackendServerId} from '@mimosatack/types';

/** A hint that nothing confirms is dropped after this long. */
const HINT_KEPT_MS = 600_000;

/**
 * Joins the lagging host list with hints. A hint holds although the list still
 * shows the host as live: the list is late more often than a hint is wrong.
 */
export class LeavingSet {
  private listed: ReadonlySet<BackendServerId> = new Set();
  private readonly hintedAtMs = new Map<BackendServerId, number>();

  setListed(ids: readonly BackendServerId[]): void {
    this.listed = new Set(ids);
  }

  /** Returns whether the hint is news. */
  noteHint(id: BackendServerId, nowMs: number): boolean {
    const isNews = !this.has(id, nowMs);
    this.hintedAtMs.set(id, nowMs);
    return isNews;
  }

  has(id: BackendServerId, nowMs: number): boolean {
    if (this.listed.has(id)) return true;
    const hintedAtMs = this.hintedAtMs.get(id);
    return hintedAtMs !== undefined && nowMs - hintedAtMs < HINT_KEPT_MS;
  }

  forget(id: BackendServerId): void {
    this.hintedAtMs.delete(id);
  }
}
