/** The origins of recent streams that one host knows. */
import {type Clock} from '@mimosatack/clock';
import {type ServiceName} from '@mimosatack/types';
import {type StreamId, type StreamOrigin} from './stream_origin.js';

/** Longer than callers wait for a stream over all their attempts. */
export const STREAM_MEMORY_MS = 60_000;
/** Bounds the memory that requests with ever new ids can take. */
const MAX_STREAMS = 50_000;

interface Entry extends StreamOrigin {
  recordedAtMs: number;
}

export class StreamOriginTable {
  /** In the order in which they were recorded. */
  private readonly entries = new Map<StreamId, Entry>();

  constructor(private readonly clock: Clock) {}

  get size(): number {
    return this.entries.size;
  }

  find(id: StreamId): StreamOrigin | null {
    const entry = this.entries.get(id);
    if (!entry || this.isExpired(entry)) return null;
    const {service, softwareVersion} = entry;
    return {service, softwareVersion};
  }

  /** Prolongs the memory of a stream that is recorded already. */
  record(id: StreamId, origin: StreamOrigin): void {
    this.entries.delete(id);
    this.entries.set(id, {...origin, recordedAtMs: this.clock.monotonicMs()});
    this.removeOld();
  }

  listOf(service: ServiceName): Array<[StreamId, StreamOrigin]> {
    return [...this.entries]
      .filter(([, entry]) => entry.service === service)
      .filter(([, entry]) => !this.isExpired(entry))
      .map(([id, {softwareVersion}]) => [id, {service, softwareVersion}]);
  }

  private removeOld(): void {
    for (const [id, entry] of this.entries) {
      if (this.entries.size <= MAX_STREAMS && !this.isExpired(entry)) return;
      this.entries.delete(id);
    }
  }

  private isExpired({recordedAtMs}: Entry): boolean {
    return this.clock.monotonicMs() - recordedAtMs >= STREAM_MEMORY_MS;
  }
}
