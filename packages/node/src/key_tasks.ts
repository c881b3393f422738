/** Wires the tasks of a node that handle idempotency keys. */
import {type Clock} from '@mimosatack/clock';
import {type RandomSource} from '@mimosatack/random';
import {UnrepeatableRunner} from '@mimosatack/serve-callers';
import {type DaemonSettings} from '@mimosatack/settings';
import {type TicketSigner} from '@mimosatack/unrepeatable';
import {ClaimTask} from './claim_task.js';
import {type NodeRanking} from './node_ranking.js';
import {type PeerTask} from './peer_task.js';
import {type TicketMessage} from './ticket_messages.js';
import {TicketTask} from './ticket_task.js';

export interface KeyTasksOptions {
  clock: Clock;
  random: RandomSource;
  settings: DaemonSettings;
  incarnation: string;
  logTimeoutMs: number;
  mint: TicketSigner;
  peers: PeerTask;
  ranking: NodeRanking;
}

/** The tasks that own the tickets and the claims of this node. */
export class KeyTasks {
  readonly runner: UnrepeatableRunner;
  private readonly tickets: TicketTask;
  private readonly claims: ClaimTask;

  constructor(options: KeyTasksOptions) {
    const {peers, ranking} = options;
    const {nodeName, logUrl} = options.settings;
    this.tickets = new TicketTask(options);
    this.claims = new ClaimTask({
      ...options,
      ...{nodeName, logUrl},
      listMembers: () => peers.listMembers(),
      listTopRanked: key => ranking.listTopRanked(key),
    });
    this.runner = new UnrepeatableRunner({
      ...options,
      nodeName,
      tickets: this.tickets.table,
      claims: this.claims.keys,
      owners: {
        findProcess: incarnation => peers.findProcess(incarnation),
        findPartitionOwner: partition =>
          this.claims.findPartitionOwner(partition),
        askSuccessors: query => this.tickets.askSuccessors(query),
      },
    });
  }

  tick(): void {
    this.claims.tick();
  }

  receive(message: TicketMessage): TicketMessage | void {
    return this.tickets.receive(message);
  }

  /**
   * Called when the node accepts no more requests, so that the tables are
   * final.
   */
  async handOver(): Promise<void> {
    this.tickets.close();
    await this.tickets.handOver();
    await this.claims.stop();
  }
}
