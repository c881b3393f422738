/** Watches the engines for which this node is a successor. */
import {type BackendServer, type StewardClaim} from '@mimosatack/agreed-state';
import {type NodeIncarnation} from '@mimosatack/types';
import {EngineWatch, type EngineWatchOptions} from './engine_watch.js';

export interface EngineWatchesOptions extends Pick<
  EngineWatchOptions,
  'clock'
> {
  incarnation: NodeIncarnation;
  connect(server: BackendServer): EngineWatchOptions['control'];
  listSlots(
    backendServerId: string,
  ): ReturnType<EngineWatchOptions['listSlots']>;
  /** Called when this node should take over from a holder. */
  onTakeover(): void;
}

/**
 * Guards against a late load that a crashed steward leaves undone: membership
 * notices the crash too late, so a successor watches engines whose loads are
 * due. After the takeover, the engine refuses orders of the holder.
 */
export class EngineWatches {
  private readonly watches = new Map<string, EngineWatch>();
  /** Epochs in which this node took over from the holder, by engine. */
  private readonly takenOverEpochs = new Map<string, number>();

  constructor(private readonly options: EngineWatchesOptions) {}

  /**
   * Watches an engine that another node holds, if this node is a successor and
   * the engine refuses old fencing numbers. Returns the rank to act with after
   * a takeover, else null.
   */
  watch(server: BackendServer, claim: StewardClaim | undefined): number | null {
    const id = server.backendServerId;
    const {incarnation} = this.options;
    const rank = 1 + (claim?.successors.indexOf(incarnation) ?? -1);
    if (!claim || rank === 0 || server.fencing === 'ignores') {
      this.stop(id);
      return null;
    }
    if (this.takenOverEpochs.get(id) === claim.epoch) return rank;
    this.findWatch(server, claim.epoch, rank).scheduleRead();
    return null;
  }

  stop(backendServerId: string): void {
    this.watches.get(backendServerId)?.stop();
    this.watches.delete(backendServerId);
  }

  retainOnly(present: ReadonlySet<string>): void {
    [...this.watches.keys()]
      .filter(id => !present.has(id))
      .forEach(id => this.stop(id));
    [...this.takenOverEpochs.keys()]
      .filter(id => !present.has(id))
      .forEach(id => this.takenOverEpochs.delete(id));
  }

  private findWatch(
    server: BackendServer,
    epoch: number,
    rank: number,
  ): EngineWatch {
    const id = server.backendServerId;
    const known = this.watches.get(id);
    if (known?.epoch === epoch) return known;
    known?.stop();
    const watch = new EngineWatch({
      clock: this.options.clock,
      control: this.options.connect(server),
      epoch,
      rank,
      listSlots: () => this.options.listSlots(id),
      onNeglected: () => {
        this.takenOverEpochs.set(id, epoch);
        this.options.onTakeover();
      },
    });
    this.watches.set(id, watch);
    return watch;
  }
}
