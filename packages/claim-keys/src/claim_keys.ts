/** All claims of this node, divided into partitions by a hash of the key. */
import {type KeptAnswer} from '@mimosatack/unrepeatable';
import {
  ClaimPartition,
  type ClaimPartitionContext,
  type PartitionStatus,
} from './claim_partition.js';
import {type ClaimRecord} from './claim_records.js';
import {type ClaimRequest, type ClaimResult} from './claim_standing.js';
import {type ClaimOptions, DEFAULT_CLAIM_OPTIONS} from './options.js';

/** What the claims of a node are built from. */
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
  /** Callers told of a key whose claimer died before it told the outcome. */
  orphaned: number;
}

const STREAM_PREFIX = 'claims-';

/** Claims keys and remembers what became of them. */
export class ClaimKeys {
  readonly counters: ClaimCounters = {granted: 0, released: 0, orphaned: 0};
  private readonly options: ClaimOptions;
  private readonly partitions = new Map<number, ClaimPartition>();
  private claimCount = 0;

  constructor(private readonly context: ClaimKeysOptions) {
    this.options = {...DEFAULT_CLAIM_OPTIONS, ...context.options};
  }

  /** The partition that a key belongs to, on every node. */
  partitionOf(keyHash: string): number {
    const bytes = Buffer.from(keyHash, 'base64url');
    return bytes.readUInt32BE(0) % this.options.partitionCount;
  }

  /** Whether the date of a key is too far ahead of this node's clock. */
  isDatedAhead(issuedAtMs: number): boolean {
    return issuedAtMs > this.context.clock.wallMs() + this.options.aheadMs;
  }

  /** Claims a key, or tells what became of it; see `ClaimPartition.claim`. */
  async claim(
    request: ClaimRequest,
    expiresAtMs: number,
  ): Promise<ClaimResult> {
    const partition = this.open(this.partitionOf(request.keyHash));
    const result = await partition.claim(request, expiresAtMs);
    if (result.status === 'granted') this.counters.granted += 1;
    if (result.status === 'orphaned') this.counters.orphaned += 1;
    return result;
  }

  /** Frees the key: nothing was handed over under the grant. */
  release(grant: ClaimRecord): void {
    this.counters.released += 1;
    this.open(this.partitionOf(grant.keyHash)).release(grant);
  }

  /** The answer is null when it could not be kept. */
  noteRan(grant: ClaimRecord, answer: KeptAnswer | null): void {
    this.open(this.partitionOf(grant.keyHash)).noteRan(grant, answer);
  }

  noteUnknown(grant: ClaimRecord): void {
    this.open(this.partitionOf(grant.keyHash)).noteUnknown(grant);
  }

  /** Follows the partitions this node is to keep, and closes unused ones. */
  tick(isResponsible: (partition: number) => boolean): void {
    Array.from({length: this.options.partitionCount}, (_, index) => index)
      .filter(isResponsible)
      .forEach(index => this.open(index).keepMarked());
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

  /** Ends all partitions; outcomes that wait are written if there is time. */
  async stop(flushMs: number): Promise<void> {
    await Promise.all(
      [...this.partitions.values()].map(partition => partition.stop(flushMs)),
    );
  }

  private open(index: number): ClaimPartition {
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
