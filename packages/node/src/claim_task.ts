/** The claims of this node: which partitions it keeps, and who keeps others. */
import {ClaimKeys, DEFAULT_CLAIM_OPTIONS} from '@mimosatack/claim-keys';
import {type Clock} from '@mimosatack/clock';
import {type Member} from '@mimosatack/membership';
import {HttpLogService} from '@mimosatack/platform';
import {type RandomSource} from '@mimosatack/random';

/** What the task needs of the node. */
export interface ClaimTaskOptions {
  clock: Clock;
  random: RandomSource;
  incarnation: string;
  nodeName: string;
  logUrl: string;
  logTimeoutMs: number;
  listMembers(): Member[];
  /** The nodes that come first for a key and reach the log. */
  listFirst(key: string): readonly Member[];
}

const FLUSH_MS = 3_000;
/** One read and one append for every partition. */
const LOG_CONNECTIONS = 2 * DEFAULT_CLAIM_OPTIONS.partitionCount;

/** The task that owns the claims of this node. */
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

  /** The node that keeps a partition, or null when this one does. */
  findKeeper(partition: number): {incarnation: string; baseUrl: string} | null {
    const keeper = this.rankFirst(partition);
    if (!keeper || this.isSelf(keeper)) return null;
    return {incarnation: keeper.incarnation, baseUrl: keeper.callerBaseUrl};
  }

  tick(): void {
    this.keys.tick(partition => {
      const keeper = this.rankFirst(partition);
      return keeper !== undefined && this.isSelf(keeper);
    });
  }

  async stop(): Promise<void> {
    await this.keys.stop(FLUSH_MS);
    await this.log.close();
  }

  private rankFirst(partition: number): Member | undefined {
    return this.options.listFirst(`claims ${partition}`)[0];
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
