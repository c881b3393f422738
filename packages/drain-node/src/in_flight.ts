/** Counts the work in flight and tells what it is. */
import {type Clock} from '@mimosatack/clock';

/** One piece of work in flight. */
export interface WorkInFlight {
  /** What it is, such as `POST /v1/chat/completions`. */
  work: string;
  /** The request it belongs to, as its caller knows it, if known yet. */
  requestId: string | null;
  /** How long it has run. */
  ageMs: number;
}

/** Work that has begun. */
export interface WorkHandle {
  nameRequest(requestId: string): void;
  /** Counts once, however often it is called. */
  end(): void;
}

interface Entry {
  work: string;
  requestId: string | null;
  beganMs: number;
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
      beganMs: this.clock.monotonicMs(),
    };
    this.entries.add(entry);
    return {
      nameRequest: requestId => {
        entry.requestId = requestId;
      },
      end: () => this.end(entry),
    };
  }

  /** Resolves as soon as nothing is in flight. */
  whenZero(): Promise<void> {
    return this.count === 0
      ? Promise.resolve()
      : new Promise(resolve => this.waiters.push(resolve));
  }

  /** The work in flight, oldest first. */
  list(): WorkInFlight[] {
    const nowMs = this.clock.monotonicMs();
    return [...this.entries].map(({work, requestId, beganMs}) => ({
      work,
      requestId,
      ageMs: Math.round(nowMs - beganMs),
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
