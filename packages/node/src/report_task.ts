/**
 * Shares what stewards read from their engines: loads, warm states, and the
 * whole state of one engine on request.
 */
import {type AgreedState} from '@mimosatack/agreed-state';
import {type Clock} from '@mimosatack/clock';
import {
  type BackendReport,
  type EngineBoard,
  type SlotContent,
} from '@mimosatack/engine-board';
import {type LogFollower} from '@mimosatack/follow-log';
import {type Member} from '@mimosatack/membership';
import {type RandomSource} from '@mimosatack/random';
import {
  type ClockReading,
  FullStateRequests,
  type ReportMessage,
  ReportSharing,
  type StewardTerm,
} from '@mimosatack/share-reports';
import {formatAdapterSlotId, readBaseSlotId} from '@mimosatack/steward-orders';
import {Task, type TaskErrorHandler} from '@mimosatack/tasks';
import {type BackendServerId, type EngineState} from '@mimosatack/types';
import {type PeerTask, type PulledEngine} from './peer_task.js';

export type ReportTaskMessage =
  | {type: 'tick'}
  | {type: 'publish'; report: BackendReport; term: StewardTerm}
  | {type: 'receive'; fromAddress: string; message: ReportMessage};

export interface ReportTaskOptions {
  clock: Clock;
  random: RandomSource;
  nodeName: string;
  follower: LogFollower;
  board: EngineBoard;
  peers: Pick<PeerTask, 'listUsable' | 'sendReport' | 'pullEngine'>;
}

/** How long a request of the planner keeps engine states up to date. */
const WATCH_DURATION_MS = 60_000;

/** Shares reports through the peer transport. */
export class ReportTask extends Task<ReportTaskMessage> {
  private readonly sharing: ReportSharing;
  private readonly pulls: FullStateRequests;
  private lastState: AgreedState | null = null;
  private lastSequence = -1;
  private nodesKey = '';

  constructor(
    private readonly options: ReportTaskOptions,
    onError: TaskErrorHandler,
  ) {
    super('reports', onError);
    this.pulls = new FullStateRequests(options.board);
    this.sharing = new ReportSharing({
      ...options,
      needsSlotUsage: (_id, engineSlotId) =>
        options.follower.state.placement.find(readBaseSlotId(engineSlotId))
          ?.purpose.for === 'demand',
    });
  }

  /** The whole state of an engine that this node reads itself. */
  findOwnEngine(id: BackendServerId): PulledEngine | null {
    const {board, follower, peers, nodeName} = this.options;
    const self = peers.listUsable().find(node => node.nodeName === nodeName);
    const claim = follower.state.stewardship.findClaim(id);
    const report = board.find(id);
    const isOwn =
      self !== undefined &&
      (claim?.holder === self.incarnation ||
        claim?.successors.includes(self.incarnation));
    return isOwn && report?.engine && report.version
      ? {engine: report.engine, version: report.version}
      : null;
  }

  /** Keeps the whole states of engines up to date for a limited time. */
  watchEngines(ids: readonly BackendServerId[]): void {
    this.pulls.watch(ids, this.options.clock.monotonicMs() + WATCH_DURATION_MS);
  }

  /**
   * Asks the stewards of an engine for its whole state, the holder first; falls
   * back to the board.
   */
  async readEngine(id: BackendServerId): Promise<EngineState | null> {
    const {board, peers} = this.options;
    for (const steward of this.listStewards(id)) {
      const pulled = await peers.pullEngine(steward.peerAddress, id);
      if (!pulled) continue;
      board.applyEngine(pulled.engine, pulled.version);
      return pulled.engine;
    }
    return board.find(id)?.engine ?? null;
  }

  protected handle(message: ReportTaskMessage): void {
    const now = this.readClock();
    switch (message.type) {
      case 'tick':
        this.syncBackendServers();
        this.syncNodes();
        this.sharing.tick(now).forEach(each => this.send(each));
        this.pullDue(now);
        return;
      case 'publish':
        this.sharing.publish(message.report, message.term, now.monotonicMs);
        return;
      case 'receive':
        this.sharing
          .receive(message.fromAddress, message.message, now)
          .forEach(each => this.send(each));
        return;
    }
  }

  private syncBackendServers(): void {
    const {state} = this.options.follower;
    const isSame =
      state === this.lastState && state.sequence === this.lastSequence;
    if (isSame) return;
    this.lastState = state;
    this.lastSequence = state.sequence;
    const {stewardship} = state;
    this.sharing.setBackendServers(
      stewardship.listBackendServers().map(({backendServerId}) => {
        const claim = stewardship.findClaim(backendServerId);
        return {
          backendServerId,
          epoch: claim?.epoch ?? 0,
          holder: claim?.holder ?? null,
        };
      }),
    );
    this.options.board.reindexWarm();
  }

  private syncNodes(): void {
    const nodes = this.options.peers.listUsable();
    const key = nodes.map(node => node.incarnation).join(' ');
    if (key === this.nodesKey) return;
    this.nodesKey = key;
    this.sharing.setNodes(nodes);
  }

  private pullDue({monotonicMs}: ClockReading): void {
    const ids = this.options.follower.state.stewardship
      .listBackendServers()
      .map(server => server.backendServerId);
    this.pulls.takeDueRequests(ids, monotonicMs).forEach(id => {
      void this.readEngine(id).then(engine => {
        if (engine) this.pulls.markCompleted(id);
      });
    });
  }

  /** The other nodes that may hold a backend server, the holder first. */
  private listStewards(id: BackendServerId): Member[] {
    const {follower, peers, nodeName} = this.options;
    const claim = follower.state.stewardship.findClaim(id);
    const members = peers.listUsable();
    return [claim?.holder ?? '', ...(claim?.successors ?? [])]
      .flatMap(
        incarnation =>
          members.find(member => member.incarnation === incarnation) ?? [],
      )
      .filter(member => member.nodeName !== nodeName);
  }

  private send({
    toAddress,
    message,
  }: {
    toAddress: string;
    message: ReportMessage;
  }): void {
    this.options.peers.sendReport(toAddress, message);
  }

  private readClock(): ClockReading {
    const {clock} = this.options;
    return {monotonicMs: clock.monotonicMs(), wallMs: clock.wallMs()};
  }
}

/** The models and adapters that the slots of a backend server may hold warm. */
export function listSlotContents(
  {placement}: AgreedState,
  id: BackendServerId,
): SlotContent[] {
  return placement
    .listOnBackendServer(id)
    .flatMap(({slotId, model, adapters}) => [
      {engineSlotId: slotId, slotId, model, adapter: null},
      ...adapters.map(adapter => ({
        engineSlotId: formatAdapterSlotId(slotId, adapter),
        slotId,
        model,
        adapter,
      })),
    ]);
}
