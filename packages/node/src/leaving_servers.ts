/**
 * Which backend servers get no new work: those that the agreed state says
 * leave or are drained, and those that a hint says leave.
 */
import {type FoldedRecord, type Stewardship} from '@mimosatack/agreed-state';
import {type Clock} from '@mimosatack/clock';
import {type BackendServerId} from '@mimosatack/types';

/** How long a hint holds that the agreed state does not confirm. */
const HINT_MS = 120_000;

/**
 * Hints from the host list or from other nodes count at once, also while the
 * log is down; the agreed state takes over when it says the same.
 */
export class LeavingServers {
  private readonly hintedAtMs = new Map<BackendServerId, number>();

  constructor(private readonly clock: Clock) {}

  /** Takes in a hint; returns the servers that no hint named before. */
  noteHints(ids: readonly BackendServerId[]): BackendServerId[] {
    const nowMs = this.clock.monotonicMs();
    const fresh = ids.filter(id => !this.isHinted(id));
    ids.forEach(id => this.hintedAtMs.set(id, nowMs));
    return fresh;
  }

  /** The servers that stay after all, as the host list says. */
  withdrawHints(ids: readonly BackendServerId[]): void {
    ids.forEach(id => this.hintedAtMs.delete(id));
  }

  list(stewardship: Stewardship): BackendServerId[] {
    return stewardship
      .listBackendServers()
      .map(server => server.backendServerId)
      .filter(
        id =>
          stewardship.isDraining(id) ||
          stewardship.isLeaving(id) ||
          this.isHinted(id),
      );
  }

  private isHinted(id: BackendServerId): boolean {
    const hintedAtMs = this.hintedAtMs.get(id);
    if (hintedAtMs === undefined) return false;
    if (this.clock.monotonicMs() - hintedAtMs < HINT_MS) return true;
    this.hintedAtMs.delete(id);
    return false;
  }
}

/** Whether a record may change which backend servers get no new work. */
export function isAboutDraining({record}: FoldedRecord): boolean {
  const type = record?.body.type;
  return type === 'drain-backend-server' || type === 'note-host-state';
}
