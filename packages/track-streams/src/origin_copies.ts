/** Chooses the hosts that keep a copy of a stream's origin. */
import {type StreamId, hashText} from './stream_origin.js';

export interface CopyHost {
  nodeName: string;
  peerAddress: string;
}

/** Also the number of hosts that are asked for a stream. */
export const MAX_COPIES = 7;
const MIN_COPIES = 3;
/** A host that would send more keeps fewer copies of each stream, `MIN_COPIES` at least. */
const MAX_COPIES_PER_SECOND = 60;
const MS_PER_SECOND = 1_000;

/** The number of copies of each stream while a host begins so many in a second. */
export function findCopyCount(streamsPerSecond: number): number {
  const affordable = Math.floor(
    MAX_COPIES_PER_SECOND / Math.max(1, streamsPerSecond),
  );
  return Math.min(MAX_COPIES, Math.max(MIN_COPIES, affordable));
}

/** Counts the streams that began in the last second. */
export class StreamRate {
  private startedAtMs: number[] = [];

  record(nowMs: number): number {
    const isRecent = (atMs: number) => atMs > nowMs - MS_PER_SECOND;
    this.startedAtMs = [...this.startedAtMs.filter(isRecent), nowMs];
    return this.startedAtMs.length;
  }
}

/**
 * Consistent hashing: the hosts that follow the stream on a ring. Hosts that list the
 * same others agree, and a host that comes or goes moves only its own part.
 */
export class HostRing {
  private hosts: readonly CopyHost[] = [];
  private ring: ReadonlyArray<{position: string; host: CopyHost}> = [];

  constructor(private readonly listHosts: () => readonly CopyHost[]) {}

  listFollowing(id: StreamId, count: number): CopyHost[] {
    this.refresh();
    const at = this.ring.findIndex(({position}) => position >= id);
    const start = Math.max(0, at);
    return [...this.ring.slice(start), ...this.ring.slice(0, start)]
      .slice(0, count)
      .map(({host}) => host);
  }

  private refresh(): void {
    const hosts = this.listHosts();
    if (areSame(hosts, this.hosts)) return;
    this.hosts = hosts;
    this.ring = hosts
      .map(host => ({position: hashText(host.nodeName), host}))
      .sort((a, b) => (a.position < b.position ? -1 : 1));
  }
}

function areSame(
  some: readonly CopyHost[],
  others: readonly CopyHost[],
): boolean {
  return (
    some.length === others.length &&
    some.every((host, at) => host === others[at])
  );
}
