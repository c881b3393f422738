import {
  type EngineStatus,
  compareVersions,
  hashText,
} from '@mimosatack/engine-board';
import {type BackendServerId} from '@mimosatack/types';
import {type BackendServerTable} from './backend_server_table.js';
import {BUCKET_COUNT, type IndexedStatus} from './messages.js';

/** The newest warm state of each backend server, merged in any order. */
export class StatusTable {
  private readonly statuses = new Map<BackendServerId, EngineStatus>();
  /** For each bucket, the exclusive or of the hashes of its versions. */
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

  /** Returns whether `status` was newer than the known one. */
  merge(status: EngineStatus): boolean {
    const known = this.statuses.get(status.backendServerId);
    if (known && compareVersions(status.version, known.version) <= 0) {
      return false;
    }
    if (known) this.toggleDigest(known);
    this.toggleDigest(status);
    this.statuses.set(status.backendServerId, status);
    return true;
  }

  /** Removes backend servers that are not in the table. */
  removeUnregistered(table: BackendServerTable): void {
    this.list()
      .filter(status => !table.find(status.backendServerId))
      .forEach(status => {
        this.toggleDigest(status);
        this.statuses.delete(status.backendServerId);
      });
  }

  private toggleDigest({backendServerId, version}: EngineStatus): void {
    const {epoch, rank, count} = version;
    const hash = hashText(`${backendServerId} ${epoch} ${rank} ${count}`);
    this.digests[bucketOf(backendServerId)]! ^= hash;
  }
}

export function bucketOf(id: BackendServerId): number {
  return hashText(id) % BUCKET_COUNT;
}

/** Omits backend servers that are not in the table. */
export function encodeStatuses(
  statuses: readonly EngineStatus[],
  table: BackendServerTable,
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

/** Omits indexes that are not in the table. */
export function decodeStatuses(
  statuses: readonly IndexedStatus[],
  table: BackendServerTable,
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
