/** The engines that this node watches as a successor. */
import {type BackendServer, type StewardClaim} from '@mimosatack/agreed-state';
import {type NodeIncarnation} from '@mimosatack/types';
import {EngineWatch, type EngineWatchOptions} from './engine_watch.js';

/** What the watches are built from. */
export interface EngineWatchesOptions extends Pick<
  EngineWatchOptions,
  'clock'
> {
  incarnation: NodeIncarnation;
  connect(server: BackendServer): EngineWatchOptions['control'];
  listSlots(
    backendServerId: string,
  ): ReturnType<EngineWatchOptions['listSlots']>;
  /** Called when this node should step in for a holder. */
  onSteppedIn(): void;
}

/**
 * Late loads leave less time than it takes to see that a steward is dead, so a
 * successor watches engines whose loads are due. Once it has stepped in, the
 * engine turns the holder away.
 */
export class EngineWatches {
  private readonly watches = new Map<string, EngineWatch>();
  /** Epochs under which this node stepped in for the holder. */
  private readonly steppedIn = new Map<string, number>();

  constructor(private readonly options: EngineWatchesOptions) {}

  /**
   * Watches an engine that another node holds, if this one is a successor and
   * the engine would turn the holder away. Gives the rank to act with when
   * this node has stepped in, else null.
   */
  watch(server: BackendServer, claim: StewardClaim | undefined): number | null {
    const id = server.backendServerId;
    const {incarnation} = this.options;
    const rank = 1 + (claim?.successors.indexOf(incarnation) ?? -1);
    if (!claim || rank === 0 || server.fencing === 'ignores') {
      this.stop(id);
      return null;
    }
    if (this.steppedIn.get(id) === claim.epoch) return rank;
    this.findWatch(server, claim.epoch, rank).plan();
    return null;
  }

  stop(backendServerId: string): void {
    this.watches.get(backendServerId)?.stop();
    this.watches.delete(backendServerId);
  }

  keepOnly(present: ReadonlySet<string>): void {
    [...this.watches.keys()]
      .filter(id => !present.has(id))
      .forEach(id => this.stop(id));
    [...this.steppedIn.keys()]
      .filter(id => !present.has(id))
      .forEach(id => this.steppedIn.delete(id));
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
        this.steppedIn.set(id, epoch);
        this.options.onSteppedIn();
      },
    });
    this.watches.set(id, watch);
    return watch;
  }
}
