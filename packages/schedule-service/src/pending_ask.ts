/** A request that waits for a backend server to be chosen. */
import {type Timer} from '@mimosatack/clock';
import {TypedError} from '@mimosatack/errors';
import {type ServerAsk, type ServerChoice} from '@mimosatack/serve-requests';
import {type BackendServerId} from '@mimosatack/types';

export interface PendingAskEvents {
  onSettled: () => void;
  /** The signal of the ask was aborted. */
  onWithdrawn: () => void;
}

/** Settles once, with the first choice that is made. */
export class PendingAsk {
  readonly choice: Promise<ServerChoice>;
  /** Whether the ask was sent to the current scheduling node. */
  isSubmitted = false;
  private resolve!: (choice: ServerChoice) => void;
  private isSettled = false;
  private timer: Timer | null = null;
  private readonly onAbort = () => this.withdraw();

  constructor(
    readonly askId: string,
    private current: ServerAsk,
    private readonly events: PendingAskEvents,
  ) {
    this.choice = new Promise(resolve => (this.resolve = resolve));
    current.signal.addEventListener('abort', this.onAbort, {once: true});
    if (current.signal.aborted) this.withdraw();
  }

  /** Whether the timer was neither cancelled nor replaced. */
  hasTimer(timer: Timer): boolean {
    return this.timer === timer;
  }

  get ask(): ServerAsk {
    return this.current;
  }

  /** Replaces the timer, which is cancelled once the ask is settled. */
  setTimer(timer: Timer): void {
    this.cancelTimer();
    if (this.isSettled) return timer.cancel();
    this.timer = timer;
  }

  cancelTimer(): void {
    this.timer?.cancel();
    this.timer = null;
  }

  exclude(id: BackendServerId): void {
    const excluded = new Set([...this.current.excluded, id]);
    this.current = {...this.current, excluded};
  }

  /** Returns false when the ask was settled before. */
  settle(choice: ServerChoice): boolean {
    if (this.isSettled) return false;
    this.isSettled = true;
    this.cancelTimer();
    this.current.signal.removeEventListener('abort', this.onAbort);
    this.events.onSettled();
    this.resolve(choice);
    return true;
  }

  private withdraw(): void {
    if (this.isSettled) return;
    this.events.onWithdrawn();
    this.settle({status: 'refused', error: makeWithdrawnError()});
  }
}

function makeWithdrawnError(): TypedError {
  return new TypedError('deadline-exceeded', 'The request no longer waits.', {
    run: 'not-run',
  });
}
