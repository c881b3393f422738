/** Shares with other nodes at which software version streams began. */
import {type Clock, type Timer, SuspensionAwareClock} from '@mimosatack/clock';
import {TypedError} from '@mimosatack/errors';
import {type KeyedTopic} from '@mimosatack/keyed-store';
import {
  StreamOrigins,
  type StreamOriginsOptions,
  decodeVersionRecord,
  encodeVersionRecord,
} from '@mimosatack/track-streams';
import {type BackendServerEntry} from '@mimosatack/types';
import {StoredRecord} from './stored_record.js';

/** Key of the record in the nodes topic; not a valid node name. */
export const SERVICE_VERSIONS_KEY = ':service-versions';

export interface StreamVersionsTaskOptions extends StreamOriginsOptions {
  clock: Clock;
  /** Topic that every node reads when it starts. */
  topic: KeyedTopic;
  /** Whether this node writes the record for all nodes. */
  isWriter: () => boolean;
  listServers: () => readonly BackendServerEntry[];
  onFault: (error: TypedError) => void;
}

/** After a suspension the list of servers is current again within this time. */
const SETTLE_MS = 2_000;
/** Less is attributed to the delay between two readings of the clock. */
const MIN_SUSPENSION_MS = 100;

/**
 * Keeps a record of the software versions of each service. Guards against nodes that all
 * restart at once, see one version and continue streams that began at another.
 */
export class StreamVersionsTask {
  readonly origins: StreamOrigins;
  private readonly record: StoredRecord;
  private readonly awakeClock: SuspensionAwareClock;
  private leaseTimer: Timer | null = null;
  private suspendedMs = 0;
  private resumedAtMs = -Infinity;

  constructor(private readonly options: StreamVersionsTaskOptions) {
    this.awakeClock = new SuspensionAwareClock(options.clock);
    this.origins = new StreamOrigins({
      ...options,
      serversAgeMs: () => this.serversAgeMs,
    });
    const {versions} = this.origins;
    this.record = new StoredRecord({
      ...options,
      key: SERVICE_VERSIONS_KEY,
      encode: () =>
        encodeVersionRecord({
          services: versions.listForRecord(),
          era: options.topic.era.number,
        }),
      // Before it has read the record, this node does not know the versions of before.
      isWriter: () => options.isWriter() && versions.isRecordKnown,
    });
  }

  get gauges(): {knownStreams: number; mixedServices: number} {
    const {knownStreams, versions} = this.origins;
    return {knownStreams, mixedServices: versions.listMixed().length};
  }

  /** Has to be called periodically, and after each change of the servers. */
  updateServers(): void {
    this.origins.updateServers(this.options.listServers());
    this.syncAfterLease();
  }

  /** Writes the record when it may name a further version, as requests wait for that. */
  private syncAfterLease(): void {
    const {nextLeaseMs} = this.origins.versions;
    if (nextLeaseMs === null || this.leaseTimer) return;
    this.leaseTimer = this.options.clock.setTimer(nextLeaseMs, () => {
      this.leaseTimer = null;
      void this.syncRecord();
    });
  }

  /** Takes the record as what the store holds, without believing it. */
  noteStored(value: Uint8Array | null): void {
    this.record.noteStored(value);
  }

  /** Applies the record, read from the store or received from a peer. */
  applyRecord(value: Uint8Array | null): void {
    this.record.noteStored(value);
    const record = value && decodeVersionRecord(value);
    if (value && !record) this.options.onFault(makeInvalidRecordError());
    const {services = new Map(), era = 0} = record ?? {};
    this.origins.applyRecord(services, era < this.options.topic.era.number);
  }

  /** Called once all records were read; there may be none of the versions. */
  noteLoaded(): void {
    const {origins} = this;
    if (!origins.versions.isRecordKnown) origins.applyRecord(new Map(), false);
  }

  /**
   * Age of this host's list of servers; Infinity after a suspension until it is current again.
   * Ages on the monotonic clock leave out the time of a suspension.
   */
  get serversAgeMs(): number {
    const {clock, serversAgeMs} = this.options;
    const suspendedMs = this.awakeClock.monotonicMs() - clock.monotonicMs();
    if (suspendedMs - this.suspendedMs > MIN_SUSPENSION_MS) {
      this.suspendedMs = suspendedMs;
      this.resumedAtMs = clock.monotonicMs();
    }
    const awakeForMs = clock.monotonicMs() - this.resumedAtMs;
    return awakeForMs < SETTLE_MS ? Infinity : serversAgeMs();
  }

  /** Writes the record if it has changed; has to be called periodically. */
  syncRecord(): Promise<void> {
    return this.record.sync();
  }
}

function makeInvalidRecordError(): TypedError {
  return new TypedError(
    'record-invalid',
    'The record of the software versions of services has another form.',
    {run: 'not-run'},
  );
}
