/** The claims of this node: which partitions it keeps, and who keeps others. */
import {ClaimKeys, DEFAULT_CLAIM_OPTIONS} from '@mimosatack/claim-keys';
import {type Clock} from '@mimosatack/clock';
import {type Member, rankMembers} from '@mimosatack/membership';
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
  peers: {listMembers(): Member[]; listUsable(): Member[]};
}

const FLUSH_MS = 3_000;
/** One read and one append for every partition. */
const LOG_CONNECTIONS = 2 * DEFAULT_CLAIM_OPTIONS.partitionCount;

/** The task that owns the claims of this node. */
export class ClaimTask {
  readonly keys: ClaimKeys;
  private readonly log: HttpLogService;
  private keepers: Array<Member | undefined> = [];
  private rankedMembers = '';

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
    const keeper = this.keepers[partition];
    if (!keeper || this.isSelf(keeper)) return null;
    return {incarnation: keeper.incarnation, baseUrl: keeper.callerBaseUrl};
  }

  tick(): void {
    this.rankKeepers();
    this.keys.tick(partition => {
      const keeper = this.keepers[partition];
      return keeper !== undefined && this.isSelf(keeper);
    });
  }

  async stop(): Promise<void> {
    await this.keys.stop(FLUSH_MS);
    await this.log.close();
  }

  private rankKeepers(): void {
    const members = this.options.peers.listUsable();
    const names = members.map(member => member.incarnation).join(' ');
    if (names === this.rankedMembers) return;
    this.rankedMembers = names;
    this.keepers = Array.from(
      {length: DEFAULT_CLAIM_OPTIONS.partitionCount},
      (_, partition) => rankMembers(`claims ${partition}`, members)[0],
    );
  }

  private isSelf(member: Member): boolean {
    return member.incarnation === this.options.incarnation;
  }

  private isAlive(incarnation: string): boolean {
    return this.options.peers
      .listMembers()
      .some(
        member =>
          member.incarnation === incarnation && member.status !== 'gone',
      );
  }
}
