/** The newest warm state of each backend server, with digests to compare. */
import {
  type EngineStatus,
  compareVersions,
  hashText,
} from '@mimosatack/engine-board';
import {type BackendServerId} from '@mimosatack/types';
import {BUCKET_COUNT, type IndexedStatus} from './messages.js';
import {type RunnerTable} from './runner_table.js';

/** Merges warm states; the order in which they come does not matter. */
export class StatusTable {
  private readonly statuses = new Map<BackendServerId, EngineStatus>();
  /** For each bucket the exclusive or of the hashes of its versions. */
  readonly digests = new Uint32Array(BUCKET_COUNT);

  find(id: BackendServerId): EngineStatus | undefined {
    return this.statuses.get(id);
  }

  list(): EngineStatus[] {
    return [...this.statuses.values()];
  }

  listIn(buckets: readonly number[]): EngineStatus[] {
    return this.list().filter(status =>
      buckets.includes(bucketOf(status.backendServerId)),
    );
  }

  /** Returns whether it was newer than what was known. */
  merge(status: EngineStatus): boolean {
    const known = this.statuses.get(status.backendServerId);
    if (known && compareVersions(status.version, known.version) <= 0) {
      return false;
    }
    if (known) this.toggle(known);
    this.toggle(status);
    this.statuses.set(status.backendServerId, status);
    return true;
  }

  /** Forgets backend servers that the agreed state does not have. */
  forgetMissing(table: RunnerTable): void {
    this.list()
      .filter(status => !table.find(status.backendServerId))
      .forEach(status => {
        this.toggle(status);
        this.statuses.delete(status.backendServerId);
      });
  }

  private toggle({backendServerId, version}: EngineStatus): void {
    const {epoch, rank, count} = version;
    const hash = hashText(`${backendServerId} ${epoch} ${rank} ${count}`);
    this.digests[bucketOf(backendServerId)]! ^= hash;
  }
}

/** The bucket that a backend server is compared in. */
export function bucketOf(id: BackendServerId): number {
  return hashText(id) % BUCKET_COUNT;
}

/** Leaves out what the table does not know. */
export function encodeStatuses(
  statuses: readonly EngineStatus[],
  table: RunnerTable,
): IndexedStatus[] {
  return statuses.flatMap((status): IndexedStatus[] => {
    const index = table.findIndex(status.backendServerId);
    if (index === undefined) return [];
    const {epoch, rank, count} = status.version;
    return [
      [
        index,
        epoch,
        rank,
        count,
        status.incarnationHash,
        status.isReachable,
        status.maxRunningRequests,
        status.warmSlots,
        status.busySlots,
      ],
    ];
  });
}

/** Leaves out indexes that the table does not have. */
export function decodeStatuses(
  statuses: readonly IndexedStatus[],
  table: RunnerTable,
): EngineStatus[] {
  return statuses.flatMap(([index, epoch, rank, count, ...rest]) => {
    const row = table.rows[index];
    if (!row) return [];
    const [incarnationHash, isReachable, maxRunningRequests, ...slots] = rest;
    const [warmSlots, busySlots] = slots;
    return [
      {
        backendServerId: row.backendServerId,
        version: {epoch, rank, count},
        incarnationHash,
        isReachable,
        maxRunningRequests,
        warmSlots,
        busySlots,
      },
    ];
  });
}
