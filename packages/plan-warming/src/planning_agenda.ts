/**
 * Which events have to be planned. An event whose inputs have not changed
 * since a run that wanted nothing is passed over, which is what planning
 * costs most of the time.
 */
import {type ResolvedEvent, type Slot} from '@mimosatack/agreed-state';

/** What a planning run of an event depends on, besides the free memory. */
export interface EventInputs {
  event: ResolvedEvent;
  held: readonly Slot[];
  /** Models that requests ask for. */
  demanded: ReadonlySet<string>;
  nowMs: number;
  /** A mark on each slot whose backend server is lost or leaving, or ''. */
  markSlot(slot: Slot): string;
}

/** A short text that changes when a planning run may give something new. */
export function fingerprintEvent(inputs: EventInputs): string {
  const {event, held, demanded, nowMs} = inputs;
  const phase =
    nowMs >= event.endsAtMs
      ? 'over'
      : nowMs >= event.startsAtMs
        ? 'running'
        : 'ahead';
  const slots = held.map(
    slot =>
      `${slot.slotId}${slot.status === 'ending' ? '-' : '+'}` +
      `${slot.untilMs}${inputs.markSlot(slot)}`,
  );
  const asked = event.needs
    .filter(need => demanded.has(need.model))
    .map(need => need.model);
  return [event.revision, phase, ...slots, ...asked].join(' ');
}

interface AgendaEntry {
  /** The fingerprint that nothing is to be done for; null when unknown. */
  settled: string | null;
  /** The fingerprint of the last run. */
  tried: string | null;
  /** Since when there has been something to do. */
  dueSinceMs: number;
  notBeforeMs: number;
  retryMs: number;
}

/** Times of an agenda. */
export interface AgendaOptions {
  /** Wait after a run whose wishes were not met; it doubles each time. */
  firstRetryMs: number;
  maxRetryMs: number;
  /** How much longer each lower-ranked node waits before it plans. */
  patienceMs: number;
}

/** Remembers for each event what was planned last. */
export class PlanningAgenda {
  private readonly entries = new Map<string, AgendaEntry>();

  constructor(private readonly options: AgendaOptions) {}

  /** Whether anything waits to be planned, now or again later. */
  get hasOpen(): boolean {
    return [...this.entries.values()].some(
      entry => entry.dueSinceMs !== Infinity,
    );
  }

  /** Whether an event is to be planned by someone now. */
  isDue(key: string, fingerprint: string, nowMs: number): boolean {
    const entry = this.open(key);
    if (entry.settled === fingerprint) {
      entry.dueSinceMs = Infinity;
      return false;
    }
    entry.dueSinceMs = Math.min(entry.dueSinceMs, nowMs);
    return entry.tried !== fingerprint || nowMs >= entry.notBeforeMs;
  }

  /**
   * Whether a due event is to be planned by the node of this rank; 0 is the
   * first. Guards against a responsible node that is up but cannot write to
   * the log: the event would stay cold though others could plan it. So the
   * next in rank plans once the event has been waiting. Two plans at once do
   * no harm, since the log accepts one of them.
   */
  isTurn(key: string, rank: number, nowMs: number): boolean {
    const waitedMs = nowMs - this.open(key).dueSinceMs;
    return waitedMs >= rank * this.options.patienceMs;
  }

  /** A run wanted nothing. */
  noteSettled(key: string, fingerprint: string): void {
    this.entries.set(key, {...this.makeEntry(), settled: fingerprint});
  }

  /** A run wanted something, or could not place all. */
  noteOpen(key: string, fingerprint: string, nowMs: number): void {
    const entry = this.open(key);
    const {firstRetryMs, maxRetryMs} = this.options;
    entry.retryMs =
      entry.tried === fingerprint
        ? Math.min(maxRetryMs, entry.retryMs * 2)
        : firstRetryMs;
    entry.tried = fingerprint;
    entry.notBeforeMs = nowMs + entry.retryMs;
  }

  /** Forgets events that are not in the list any more. */
  keepOnly(keys: ReadonlySet<string>): void {
    [...this.entries.keys()]
      .filter(key => !keys.has(key))
      .forEach(key => this.entries.delete(key));
  }

  private open(key: string): AgendaEntry {
    const entry = this.entries.get(key) ?? this.makeEntry();
    this.entries.set(key, entry);
    return entry;
  }

  private makeEntry(): AgendaEntry {
    return {
      settled: null,
      tried: null,
      dueSinceMs: Infinity,
      notBeforeMs: 0,
      retryMs: this.options.firstRetryMs,
    };
  }
}
