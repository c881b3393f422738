/**
 * Tracks which events are due for planning. Skips an event whose inputs are
 * unchanged since a planning run without changes, to save the cost of the run.
 */
import {type ResolvedEvent, type Slot} from '@mimosatack/agreed-state';

/** Inputs of an event's planning run, except for free memory. */
export interface EventInputs {
  event: ResolvedEvent;
  held: readonly Slot[];
  /** Models with recent requests. */
  requestedModels: ReadonlySet<string>;
  nowMs: number;
  /** A text for a slot whose backend server is lost or leaving, else ''. */
  formatServerStatus(slot: Slot): string;
}

/** A short text that changes when a planning run may have a new result. */
export function fingerprintEvent(inputs: EventInputs): string {
  const {event, held, requestedModels, nowMs} = inputs;
  const phase =
    nowMs >= event.endsAtMs
      ? 'over'
      : nowMs >= event.startsAtMs
        ? 'running'
        : 'ahead';
  const slots = held.map(
    slot =>
      `${slot.slotId}${slot.status === 'ending' ? '-' : '+'}` +
      `${slot.untilMs}${inputs.formatServerStatus(slot)}`,
  );
  const requested = event.needs
    .filter(need => requestedModels.has(need.model))
    .map(need => need.model);
  return [event.revision, phase, ...slots, ...requested].join(' ');
}

interface AgendaEntry {
  /** Fingerprint of the last run without changes; null before such a run. */
  settledFingerprint: string | null;
  /** Fingerprint of the last run with changes or unplaced replicas. */
  lastFingerprint: string | null;
  /** `Infinity` while the event is not due. */
  dueSinceMs: number;
  retryAtMs: number;
  retryMs: number;
}

export interface PlanningScheduleOptions {
  /** Delay of the first retry; it doubles with each further retry. */
  firstRetryMs: number;
  maxRetryMs: number;
  /** Additional wait per rank before a node plans an event. */
  patienceMs: number;
}

/** Keeps the planning state of each event. */
export class PlanningSchedule {
  private readonly entries = new Map<string, AgendaEntry>();

  constructor(private readonly options: PlanningScheduleOptions) {}

  /** Whether any event is due or waits for a retry. */
  get hasUnsettled(): boolean {
    return [...this.entries.values()].some(
      entry => entry.dueSinceMs !== Infinity,
    );
  }

  /** Whether an event is due for planning, by whichever node. */
  isDue(key: string, fingerprint: string, nowMs: number): boolean {
    const entry = this.findOrAddEntry(key);
    if (entry.settledFingerprint === fingerprint) {
      entry.dueSinceMs = Infinity;
      return false;
    }
    entry.dueSinceMs = Math.min(entry.dueSinceMs, nowMs);
    return entry.lastFingerprint !== fingerprint || nowMs >= entry.retryAtMs;
  }

  /**
   * Whether the node of this rank should plan a due event. Lower-ranked nodes
   * take over after a wait, in case the responsible node (rank 0) is up but
   * cannot write to the log. The log accepts only one of two concurrent plans.
   */
  isRankDue(key: string, rank: number, nowMs: number): boolean {
    const waitedMs = nowMs - this.findOrAddEntry(key).dueSinceMs;
    return waitedMs >= rank * this.options.patienceMs;
  }

  /** Records a planning run without changes. */
  recordSettled(key: string, fingerprint: string): void {
    this.entries.set(key, {
      ...this.makeEntry(),
      settledFingerprint: fingerprint,
    });
  }

  /** Records a planning run with changes or unplaced replicas. */
  recordUnsettled(key: string, fingerprint: string, nowMs: number): void {
    const entry = this.findOrAddEntry(key);
    const {firstRetryMs, maxRetryMs} = this.options;
    entry.retryMs =
      entry.lastFingerprint === fingerprint
        ? Math.min(maxRetryMs, entry.retryMs * 2)
        : firstRetryMs;
    entry.lastFingerprint = fingerprint;
    entry.retryAtMs = nowMs + entry.retryMs;
  }

  /** Drops the entries of all other events. */
  retainOnly(keys: ReadonlySet<string>): void {
    [...this.entries.keys()]
      .filter(key => !keys.has(key))
      .forEach(key => this.entries.delete(key));
  }

  private findOrAddEntry(key: string): AgendaEntry {
    const entry = this.entries.get(key) ?? this.makeEntry();
    this.entries.set(key, entry);
    return entry;
  }

  private makeEntry(): AgendaEntry {
    return {
      settledFingerprint: null,
      lastFingerprint: null,
      dueSinceMs: Infinity,
      retryAtMs: 0,
      retryMs: this.options.firstRetryMs,
    };
  }
}
