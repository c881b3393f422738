/** Tracks the work in flight. */
import {type Clock} from '@mimosatack/clock';

/** One piece of work in flight. */
export interface WorkInFlight {
  /** Kind of work, such as `POST /v1/chat/completions`. */
  work: string;
  /** Request id that the caller knows; null until it is assigned. */
  requestId: string | null;
  /** Time since the work began. */
  ageMs: number;
}

/** Handle of one piece of work in flight. */
export interface WorkHandle {
  setRequestId(requestId: string): void;
  /** Marks the work as finished; further calls have no effect. */
  end(): void;
}

interface Entry {
  work: string;
  requestId: string | null;
  startedAtMs: number;
}

/** The work in flight of one node. */
export class InFlight {
  private readonly entries = new Set<Entry>();
  private waiters: (() => void)[] = [];

  constructor(private readonly clock: Clock) {}

  get count(): number {
    return this.entries.size;
  }

  begin(work: string): WorkHandle {
    const entry: Entry = {
      work,
      requestId: null,
      startedAtMs: this.clock.monotonicMs(),
    };
    this.entries.add(entry);
    return {
      setRequestId: requestId => {
        entry.requestId = requestId;
      },
      end: () => this.end(entry),
    };
  }

  /** Resolves as soon as nothing is in flight. */
  whenIdle(): Promise<void> {
    return this.count === 0
      ? Promise.resolve()
      : new Promise(resolve => this.waiters.push(resolve));
  }

  /** The work in flight, oldest first. */
  list(): WorkInFlight[] {
    const nowMs = this.clock.monotonicMs();
    return [...this.entries].map(({work, requestId, startedAtMs}) => ({
      work,
      requestId,
      ageMs: Math.round(nowMs - startedAtMs),
    }));
  }

  private end(entry: Entry): void {
    this.entries.delete(entry);
    if (this.count > 0) return;
    const {waiters} = this;
    this.waiters = [];
    waiters.forEach(resolve => resolve());
  }
}
