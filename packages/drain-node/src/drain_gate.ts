/** What a server needs to know of a shutdown while it serves. */
import {setMaxListeners} from 'node:events';
import {TypedError} from '@mimosatack/errors';
import {type InFlight} from './in_flight.js';
import {type ShutdownPhase} from './shutdown_sequence.js';

/**
 * How new work is met. `starting`: not yet. `leaving`: served, and callers
 * are told to ask for another address. `refusing`: refused.
 */
export type GateState = 'starting' | 'serving' | 'leaving' | 'refusing';

/** Shared by the shutdown and the servers of one node. */
export class DrainGate {
  private readonly cutting = new AbortController();
  private current: GateState = 'starting';

  constructor(readonly inFlight: InFlight) {
    // Every request in flight listens; none of them is a leak.
    setMaxListeners(0, this.cutting.signal);
  }

  get state(): GateState {
    return this.current;
  }

  /** Aborted when work in flight is cut off; its reason is a typed error. */
  get cutSignal(): AbortSignal {
    return this.cutting.signal;
  }

  /** Follows the shutdown; whatever comes after refusing refuses too. */
  follow(phase: ShutdownPhase): void {
    const isKnown =
      phase === 'starting' || phase === 'serving' || phase === 'leaving';
    this.current = isKnown ? phase : 'refusing';
  }

  /** Ends the work in flight with an error that says where to go on. */
  cutOff(): void {
    this.cutting.abort(
      new TypedError('shutting-down', 'The node had to stop at once.', {
        run: 'unknown',
        remedy:
          'Resume a stream at another node with GET /v1/requests/{id} and ' +
          'Last-Event-ID; ask /v1/entries for its address.',
      }),
    );
  }
}
