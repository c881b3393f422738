/** Claims of idempotency keys, partitioned by key hash. */
import {type KeptAnswer} from '@mimosatack/unrepeatable';
import {
  ClaimPartition,
  type ClaimPartitionContext,
  type PartitionStatus,
} from './claim_partition.js';
import {type ClaimRecord} from './claim_records.js';
import {type ClaimRequest, type ClaimResult} from './key_status.js';
import {type ClaimOptions, DEFAULT_CLAIM_OPTIONS} from './options.js';

/** Dependencies and options of `ClaimKeys`. */
export interface ClaimKeysOptions extends Omit<
  ClaimPartitionContext,
  'stream' | 'options' | 'takeClaimNumber'
> {
  options?: Partial<ClaimOptions>;
}

/** Totals since the start. */
export interface ClaimCounters {
  granted: number;
  released: number;
  /** Claims of keys whose claimant exited without recording an outcome. */
  orphaned: number;
}

const STREAM_PREFIX = 'claims-';

/** Claims keys and records their outcomes. */
export class ClaimKeys {
  readonly counters: ClaimCounters = {granted: 0, released: 0, orphaned: 0};
  private readonly options: ClaimOptions;
  private readonly partitions = new Map<number, ClaimPartition>();
  private claimCount = 0;

  constructor(private readonly context: ClaimKeysOptions) {
    this.options = {...DEFAULT_CLAIM_OPTIONS, ...context.options};
  }

  /** Returns the partition of a key; it is the same on all nodes. */
  partitionOf(keyHash: string): number {
    const bytes = Buffer.from(keyHash, 'base64url');
    return bytes.readUInt32BE(0) % this.options.partitionCount;
  }

  /** Whether a key's creation time is too far ahead of this node's clock. */
  isFromFuture(issuedAtMs: number): boolean {
    return issuedAtMs > this.context.clock.wallMs() + this.options.aheadMs;
  }

  /** Claims a key or returns its outcome; see `ClaimPartition.claim`. */
  async claim(
    request: ClaimRequest,
    expiresAtMs: number,
  ): Promise<ClaimResult> {
    const partition = this.openPartition(this.partitionOf(request.keyHash));
    const result = await partition.claim(request, expiresAtMs);
    if (result.status === 'granted') this.counters.granted += 1;
    if (result.status === 'orphaned') this.counters.orphaned += 1;
    return result;
  }

  /** Releases the key; no request was or will be dispatched under the grant. */
  release(grant: ClaimRecord): void {
    this.counters.released += 1;
    this.openPartition(this.partitionOf(grant.keyHash)).release(grant);
  }

  /** @param answer null if the response was not kept. */
  recordRan(grant: ClaimRecord, answer: KeptAnswer | null): void {
    this.openPartition(this.partitionOf(grant.keyHash)).recordRan(
      grant,
      answer,
    );
  }

  recordUnknown(grant: ClaimRecord): void {
    this.openPartition(this.partitionOf(grant.keyHash)).recordUnknown(grant);
  }

  /** Reads the partitions assigned to this node and closes unused ones. */
  tick(isResponsible: (partition: number) => boolean): void {
    Array.from({length: this.options.partitionCount}, (_, index) => index)
      .filter(isResponsible)
      .forEach(index => this.openPartition(index).heartbeatIfIdle());
    [...this.partitions]
      .filter(
        ([index, partition]) => partition.isUnused && !isResponsible(index),
      )
      .forEach(([index, partition]) => {
        this.partitions.delete(index);
        void partition.stop(0);
      });
  }

  listStatus(): Array<PartitionStatus & {partition: number}> {
    return [...this.partitions].map(([partition, task]) => ({
      partition,
      ...task.status,
    }));
  }

  /** Flushes queued records for up to `flushMs`, then stops all partitions. */
  async stop(flushMs: number): Promise<void> {
    await Promise.all(
      [...this.partitions.values()].map(partition => partition.stop(flushMs)),
    );
  }

  private openPartition(index: number): ClaimPartition {
    const known = this.partitions.get(index);
    if (known) return known;
    const partition = new ClaimPartition({
      ...this.context,
      options: this.options,
      stream: `${STREAM_PREFIX}${index}`,
      takeClaimNumber: () => this.claimCount++,
    });
    this.partitions.set(index, partition);
    return partition;
  }
}
