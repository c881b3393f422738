/** The shutdown state that the servers of a node consult for each request. */
import {setMaxListeners} from 'node:events';
import {TypedError} from '@mimosatack/errors';
import {type InFlight} from './in_flight.js';
import {type ShutdownPhase} from './shutdown_sequence.js';

/**
 * How new work is handled. `starting`: not accepted yet. `leaving`: accepted,
 * and callers are told to use another address. `refusing`: rejected.
 */
export type GateState = 'starting' | 'serving' | 'leaving' | 'refusing';

/** Shared by the shutdown and the servers of one node. */
export class DrainGate {
  private readonly refusalController = new AbortController();
  private readonly abortController = new AbortController();
  private cutOffMs: number | null = null;
  private current: GateState = 'starting';

  constructor(readonly inFlight: InFlight) {
    // Each request in flight adds a listener; disables the leak warning.
    setMaxListeners(0, this.refusalSignal, this.abortSignal);
  }

  get state(): GateState {
    return this.current;
  }

  /** When work in flight is cut off; null while no shutdown is requested. */
  get cutOffAtMs(): number | null {
    return this.cutOffMs;
  }

  /** Aborts when new work is rejected. */
  get refusalSignal(): AbortSignal {
    return this.refusalController.signal;
  }

  /** Aborts when work in flight is cut off; `reason` is a `TypedError`. */
  get abortSignal(): AbortSignal {
    return this.abortController.signal;
  }

  /** Sets the state for a shutdown phase; later phases keep refusing work. */
  applyPhase(phase: ShutdownPhase): void {
    const isOpen =
      phase === 'starting' || phase === 'serving' || phase === 'leaving';
    this.current = isOpen ? phase : 'refusing';
    if (!isOpen) this.refusalController.abort();
  }

  scheduleCutOff(atMs: number): void {
    this.cutOffMs = atMs;
  }

  /** Aborts the work in flight with an error that tells callers how to resume. */
  abortInFlight(): void {
    this.abortController.abort(
      new TypedError('shutting-down', 'The node had to stop at once.', {
        run: 'unknown',
        remedy:
          'Resume a stream at another node with GET /v1/requests/{id} and ' +
          'Last-Event-ID; ask /v1/entries for its address.',
      }),
    );
  }
}
