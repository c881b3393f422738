/**
 * Lists the backend servers that get no new work: those that are leaving or
 * drained in the agreed state, and those that a hint names as leaving.
 */
import {type FoldedRecord, type Stewardship} from '@mimosatack/agreed-state';
import {type Clock} from '@mimosatack/clock';
import {type BackendServerId} from '@mimosatack/types';

/** How long a hint holds without confirmation in the agreed state. */
const HINT_TTL_MS = 120_000;

/**
 * A hint from the host list or another node takes effect at once, even while
 * the log is down, until it expires.
 */
export class LeavingServers {
  private readonly hintedAtMs = new Map<BackendServerId, number>();

  constructor(private readonly clock: Clock) {}

  /** Records hints; returns the servers that had no hint before. */
  noteHints(ids: readonly BackendServerId[]): BackendServerId[] {
    const nowMs = this.clock.monotonicMs();
    const newIds = ids.filter(id => !this.isHinted(id));
    ids.forEach(id => this.hintedAtMs.set(id, nowMs));
    return newIds;
  }

  /** Removes the hints for servers that the host list names as staying. */
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
    if (this.clock.monotonicMs() - hintedAtMs < HINT_TTL_MS) return true;
    this.hintedAtMs.delete(id);
    return false;
  }
}

/** Whether a record may change which backend servers get no new work. */
export function mayChangeDraining({record}: FoldedRecord): boolean {
  const type = record?.body.type;
  return type === 'drain-backend-server' || type === 'note-host-state';
}
