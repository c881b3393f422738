/** A request that waits for its server. */
import {TypedError} from '@mimosatack/errors';
import {type ServerAsk, type ServerChoice} from '@mimosatack/serve-requests';
import {type BackendServerId} from '@mimosatack/types';

/** What an open ask tells. */
export interface OpenAskEvents {
  onSettled: () => void;
  /** The request no longer waits, by its caller or its time. */
  onWithdrawn: () => void;
}

/** Settles once, with whichever choice comes first. */
export class OpenAsk {
  readonly choice: Promise<ServerChoice>;
  /** Whether a node that schedules knows of it. */
  isHeard = false;
  private resolve!: (choice: ServerChoice) => void;
  private isSettled = false;
  private readonly onAbort = () => this.withdraw();

  constructor(
    readonly askId: string,
    private current: ServerAsk,
    private readonly events: OpenAskEvents,
  ) {
    this.choice = new Promise(resolve => (this.resolve = resolve));
    current.signal.addEventListener('abort', this.onAbort, {once: true});
    if (current.signal.aborted) this.withdraw();
  }

  get ask(): ServerAsk {
    return this.current;
  }

  /** Leaves one more server out. */
  exclude(id: BackendServerId): void {
    const excluded = new Set([...this.current.excluded, id]);
    this.current = {...this.current, excluded};
  }

  /** False when another choice came first. */
  settle(choice: ServerChoice): boolean {
    if (this.isSettled) return false;
    this.isSettled = true;
    this.current.signal.removeEventListener('abort', this.onAbort);
    this.events.onSettled();
    this.resolve(choice);
    return true;
  }

  private withdraw(): void {
    if (this.isSettled) return;
    this.events.onWithdrawn();
    this.settle({status: 'refused', error: makeWithdrawn()});
  }
}

function makeWithdrawn(): TypedError {
  return new TypedError('deadline-exceeded', 'The request no longer waits.', {
    run: 'not-run',
  });
}
