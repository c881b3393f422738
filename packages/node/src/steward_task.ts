/**
 * Holds backend servers for this node: claims them in the log, reads their
 * engines, and sends the orders that the decided slots call for.
 */
import {type AgreedState} from '@mimosatack/agreed-state';
import {type Clock} from '@mimosatack/clock';
import {type BackendReport} from '@mimosatack/engine-board';
import {type LogFollower} from '@mimosatack/follow-log';
import {type EventLogger} from '@mimosatack/logger';
import {type EngineControl} from '@mimosatack/platform';
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
}

const MAX_SUCCESSORS = 3;
const YIELD_TIMEOUT_MS = 3_000;

/** What became of the backend servers of a node that stops. */
export interface YieldReport {
  yieldedIds: BackendServerId[];
  keptIds: BackendServerId[];
  /** Why some were kept. */
  reason: 'log-unavailable' | 'order-on-the-way' | null;
}

/** The task that claims backend servers and runs one steward for each. */
export class StewardTask extends Task<StewardMessage> {
  private readonly stewards = new Map<BackendServerId, EngineSteward>();
  private readonly claiming = new Map<BackendServerId, Promise<void>>();
  private isYielding = false;

  constructor(
    private readonly options: StewardTaskOptions,
    onError: TaskErrorHandler,
  ) {
    super('steward', onError);
  }

  /**
   * Gives up the backend servers that have no order on the way, so that
   * another node takes them over at once. The others are kept: a yield says
   * that nothing can arrive any more, and a false one lets the next steward
   * load into memory that a late order still fills. Nothing is yielded while
   * the log is down; those are taken over once this node counts as gone.
   */
  async yieldAll(): Promise<YieldReport> {
    this.isYielding = true;
    await Promise.all([
      ...[...this.stewards.values()].map(steward => steward.settle()),
      ...this.claiming.values(),
    ]);
    const held = this.listHeld();
    if (!this.options.follower.status.isLogReachable) {
      return {yieldedIds: [], keptIds: held, reason: 'log-unavailable'};
    }
    const outcomes = await Promise.all(
      held.map(async id => ({id, isYielded: await this.yieldOne(id)})),
    );
    const keptIds = outcomes.filter(one => !one.isYielded).map(one => one.id);
    return {
      yieldedIds: outcomes.filter(one => one.isYielded).map(one => one.id),
      keptIds,
      reason: keptIds.length > 0 ? 'order-on-the-way' : null,
    };
  }

  protected handle(_message: StewardMessage): void {
    if (this.isYielding) return;
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
    if (this.shouldClaim(id, state)) this.beginClaim(id, state);
  }

  private shouldClaim(id: BackendServerId, state: AgreedState): boolean {
    const claim = state.stewardship.findClaim(id);
    const isFree =
      !claim || claim.isYielded || this.options.isGone(claim.holder);
    if (!isFree || this.claiming.has(id)) return false;
    return this.options.rankNodes(id)[0] === this.options.incarnation;
  }

  private listHeld(): BackendServerId[] {
    const {follower, incarnation} = this.options;
    const {stewardship} = follower.state;
    return stewardship
      .listBackendServers()
      .map(server => server.backendServerId)
      .filter(id => {
        const claim = stewardship.findClaim(id);
        return claim?.holder === incarnation && !claim.isYielded;
      });
  }

  private async yieldOne(id: BackendServerId): Promise<boolean> {
    const {follower} = this.options;
    const claim = follower.state.stewardship.findClaim(id);
    const hasNoOrder = this.stewards.get(id)?.hasNoOrderOnTheWay ?? true;
    if (!claim || !hasNoOrder) return false;
    try {
      const {outcome} = await follower.submit(
        {type: 'yield-steward', backendServerId: id, epoch: claim.epoch},
        {timeoutMs: YIELD_TIMEOUT_MS},
      );
      return outcome.status === 'valid';
    } catch {
      return false;
    }
  }

  private beginClaim(id: BackendServerId, state: AgreedState): void {
    const claim = this.claim(id, state).finally(() => this.claiming.delete(id));
    this.claiming.set(id, claim);
  }

  private async claim(id: BackendServerId, state: AgreedState): Promise<void> {
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
