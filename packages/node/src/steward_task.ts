/**
 * Holds backend servers for this node: claims them in the log, reads their
 * engines, and sends the orders that the decided slots call for.
 */
import {type AgreedState, type Slot} from '@mimosatack/agreed-state';
import {type Clock} from '@mimosatack/clock';
import {type BackendReport} from '@mimosatack/engine-board';
import {type LogFollower} from '@mimosatack/follow-log';
import {type EventLogger} from '@mimosatack/logger';
import {type EngineControl} from '@mimosatack/platform';
import {type DrainLimits, type LoadOutlook} from '@mimosatack/steward-orders';
import {Task, type TaskErrorHandler} from '@mimosatack/tasks';
import {type BackendServerId, type NodeIncarnation} from '@mimosatack/types';
import {EngineSteward} from './engine_steward.js';

/** What the task is told. */
export type StewardMessage = {type: 'tick'};

/** What the task needs of the node. */
export interface StewardTaskOptions {
  clock: Clock;
  logger: EventLogger;
  follower: LogFollower;
  incarnation: NodeIncarnation;
  connect(backendServerId: BackendServerId, baseUrl: string): EngineControl;
  /** Nodes in the order in which they should hold a backend server. */
  rankNodes(backendServerId: BackendServerId): NodeIncarnation[];
  /** Whether a node has been silent for longer than the takeover grace. */
  isGone(incarnation: NodeIncarnation): boolean;
  publishReport(report: BackendReport): void;
  submitTimeoutMs: number;
  orderDoubtMs: number;
  drain: DrainLimits;
  outlook(slot: Slot): LoadOutlook;
}

const MAX_SUCCESSORS = 3;

/** The task that claims backend servers and runs one steward for each. */
export class StewardTask extends Task<StewardMessage> {
  private readonly stewards = new Map<BackendServerId, EngineSteward>();
  private readonly claiming = new Set<BackendServerId>();

  constructor(
    private readonly options: StewardTaskOptions,
    onError: TaskErrorHandler,
  ) {
    super('steward', onError);
  }

  protected handle(_message: StewardMessage): void {
    const state = this.options.follower.state;
    state.stewardship
      .listBackendServers()
      .filter(server => server.memoryMib > 0)
      .forEach(server => this.attend(server.backendServerId, state));
    [...this.stewards.keys()]
      .filter(id => !state.stewardship.findBackendServer(id))
      .forEach(id => this.stewards.delete(id));
  }

  private attend(id: BackendServerId, state: AgreedState): void {
    const claim = state.stewardship.findClaim(id);
    const isMine =
      claim?.holder === this.options.incarnation && !claim.isYielded;
    if (isMine) {
      void this.findSteward(id, state).step();
      return;
    }
    this.stewards.delete(id);
    if (this.shouldClaim(id, state)) void this.claim(id, state);
  }

  private shouldClaim(id: BackendServerId, state: AgreedState): boolean {
    const claim = state.stewardship.findClaim(id);
    const isFree =
      !claim || claim.isYielded || this.options.isGone(claim.holder);
    if (!isFree || this.claiming.has(id)) return false;
    return this.options.rankNodes(id)[0] === this.options.incarnation;
  }

  private async claim(id: BackendServerId, state: AgreedState): Promise<void> {
    this.claiming.add(id);
    try {
      await this.options.follower.submit(
        {
          type: 'claim-steward',
          backendServerId: id,
          expectedEpoch: state.stewardship.findClaim(id)?.epoch ?? 0,
          successors: this.options.rankNodes(id).slice(1, 1 + MAX_SUCCESSORS),
        },
        {timeoutMs: this.options.submitTimeoutMs},
      );
    } catch {
      // The next tick tries again; the log follower tells of its outages.
    } finally {
      this.claiming.delete(id);
    }
  }

  private findSteward(id: BackendServerId, state: AgreedState): EngineSteward {
    const server = state.stewardship.findBackendServer(id);
    const epoch = state.stewardship.findClaim(id)?.epoch ?? 0;
    const known = this.stewards.get(id);
    if (known?.epoch === epoch) return known;
    const steward = new EngineSteward({
      ...this.options,
      epoch,
      control: this.options.connect(id, server?.baseUrl ?? ''),
    });
    this.stewards.set(id, steward);
    return steward;
  }
}
