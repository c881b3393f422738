/**
 * The claims of this node: which partitions of idempotency keys it keeps, and
 * which nodes keep the others.
 */
import {ClaimKeys, DEFAULT_CLAIM_OPTIONS} from '@mimosatack/claim-keys';
import {type Clock} from '@mimosatack/clock';
import {type Member} from '@mimosatack/membership';
import {HttpLogService} from '@mimosatack/platform';
import {type RandomSource} from '@mimosatack/random';

export interface ClaimTaskOptions {
  clock: Clock;
  random: RandomSource;
  incarnation: string;
  nodeName: string;
  logUrl: string;
  logTimeoutMs: number;
  listMembers(): Member[];
  /** The highest-ranked nodes for a key, of those that reach the log. */
  listTopRanked(key: string): readonly Member[];
}

const FLUSH_TIMEOUT_MS = 3_000;
/** One read and one append per partition. */
const LOG_CONNECTIONS = 2 * DEFAULT_CLAIM_OPTIONS.partitionCount;

export class ClaimTask {
  readonly keys: ClaimKeys;
  private readonly log: HttpLogService;

  constructor(private readonly options: ClaimTaskOptions) {
    this.log = new HttpLogService({
      baseUrl: options.logUrl,
      nodeId: options.nodeName,
      timeoutMs: options.logTimeoutMs,
      connections: LOG_CONNECTIONS,
    });
    this.keys = new ClaimKeys({
      ...options,
      log: this.log,
      isAlive: incarnation => this.isAlive(incarnation),
    });
  }

  /** The node that keeps a partition, or null if this node keeps it. */
  findPartitionOwner(
    partition: number,
  ): {incarnation: string; baseUrl: string} | null {
    const keeper = this.findKeeperMember(partition);
    if (!keeper || this.isSelf(keeper)) return null;
    return {incarnation: keeper.incarnation, baseUrl: keeper.callerBaseUrl};
  }

  tick(): void {
    this.keys.tick(partition => {
      const keeper = this.findKeeperMember(partition);
      return keeper !== undefined && this.isSelf(keeper);
    });
  }

  async stop(): Promise<void> {
    await this.keys.stop(FLUSH_TIMEOUT_MS);
    await this.log.close();
  }

  private findKeeperMember(partition: number): Member | undefined {
    return this.options.listTopRanked(`claims ${partition}`)[0];
  }

  private isSelf(member: Member): boolean {
    return member.incarnation === this.options.incarnation;
  }

  private isAlive(incarnation: string): boolean {
    return this.options
      .listMembers()
      .some(
        member =>
          member.incarnation === incarnation && member.status !== 'gone',
      );
  }
}
