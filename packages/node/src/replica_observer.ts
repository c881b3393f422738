/** Measures loads from the reports of engines that this node reads. */
import {type AgreedState, type Slot} from '@mimosatack/agreed-state';
import {type Clock} from '@mimosatack/clock';
import {type BackendReport} from '@mimosatack/engine-board';
import {type Metrics} from '@mimosatack/metrics';
import {readBaseSlotId} from '@mimosatack/steward-orders';
import {type BackendServerId, type LoadedReplica} from '@mimosatack/types';

export class ReplicaObserver {
  private readonly warmSlots = new Map<BackendServerId, Set<string>>();

  constructor(
    private readonly clock: Clock,
    private readonly metrics: Metrics,
    private readonly state: () => AgreedState,
  ) {}

  /** Records a report that this node itself has read. */
  note({backendServerId, engine}: BackendReport): void {
    if (!engine) return;
    const warm = engine.replicas.filter(replica => replica.status === 'warm');
    const known = this.warmSlots.get(backendServerId);
    this.warmSlots.set(
      backendServerId,
      new Set(warm.map(replica => replica.slotId)),
    );
    // Replicas that are warm in the first report may have been loaded long
    // before.
    if (!known) return;
    warm
      .filter(replica => !known.has(replica.slotId))
      .forEach(replica => this.noteLoad(replica));
  }

  private noteLoad({slotId, model, loadMs}: LoadedReplica): void {
    this.metrics.count('loads.finished', {model});
    this.metrics.timing('loads.duration', loadMs, {model});
    const slot = this.state().placement.find(readBaseSlotId(slotId));
    if (slot && this.isCold(slot)) this.metrics.count('loads.cold', {model});
  }

  private isCold({purpose}: Slot): boolean {
    if (purpose.for === 'demand') return true;
    const event = this.state().configuration.findEvent(purpose.eventId);
    return event !== undefined && this.clock.wallMs() > event.startsAtMs;
  }
}
