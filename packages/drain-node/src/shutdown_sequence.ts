/**
 * State machine of a graceful shutdown. It maps events to the next steps and
 * does no I/O and uses no timers itself.
 */

/**
 * `starting`: not announced to peers yet. `leaving`: peers and callers are being
 * informed; new work is still served. `refusing`: new work is rejected, work in
 * flight continues. `handing-over`: no work is in flight; the state of this node
 * moves to others. `closing`: sockets are being closed. `ended`: the process may
 * exit.
 */
export type ShutdownPhase =
  | 'starting'
  | 'serving'
  | 'leaving'
  | 'refusing'
  | 'handing-over'
  | 'closing'
  | 'ended';

/** Events that drive the shutdown. */
export type ShutdownEvent =
  /** Startup has finished; `isJoined` is true if the node joined the cluster. */
  | {type: 'started'; isJoined: boolean}
  | {type: 'stop-requested'}
  /** The time in which callers may use a cached address has elapsed. */
  | {type: 'callers-told'}
  | {type: 'nothing-in-flight'}
  | {type: 'handed-over'}
  | {type: 'closed'}
  /** A second signal arrived, or the grace period has elapsed. */
  | {type: 'cut'; reason: ForcedStopReason};

/** Why a shutdown was cut short. */
export type ForcedStopReason = 'second-signal' | 'grace-over';

/** Steps that the shutdown task performs. */
export type ShutdownStep =
  /** Aborts startup. */
  | {type: 'abort-start'}
  /** Informs peers and callers, then waits for `callers-told`. */
  | {type: 'announce'}
  /** Rejects new work, then waits for `nothing-in-flight`. */
  | {type: 'refuse-new-work'}
  | {type: 'hand-over'}
  | {type: 'close'}
  | {type: 'cut-off'; reason: ForcedStopReason; phase: ShutdownPhase}
  | {type: 'exit'; exitCode: number};

export const EXIT_STOPPED = 0;
export const EXIT_CUT_OFF = 3;

const NO_STEPS: readonly ShutdownStep[] = [];

/** The lifecycle of one process, from startup to exit. */
export class ShutdownSequence {
  private current: ShutdownPhase = 'starting';
  private isStopRequested = false;

  get phase(): ShutdownPhase {
    return this.current;
  }

  /** Whether a stop was requested, in any phase. */
  get isStopping(): boolean {
    return this.isStopRequested;
  }

  /** Applies an event; returns no steps for events that come too late. */
  apply(input: ShutdownEvent): readonly ShutdownStep[] {
    switch (input.type) {
      case 'started':
        return this.noteStarted(input.isJoined);
      case 'stop-requested':
        return this.requestStop();
      case 'callers-told':
        return this.advance('leaving', 'refusing', {type: 'refuse-new-work'});
      case 'nothing-in-flight':
        return this.advance('refusing', 'handing-over', {type: 'hand-over'});
      case 'handed-over':
        return this.advance('handing-over', 'closing', {type: 'close'});
      case 'closed':
        return this.advance('closing', 'ended', {
          type: 'exit',
          exitCode: EXIT_STOPPED,
        });
      case 'cut':
        return this.abort(input.reason);
    }
  }

  /**
   * Handles a stop requested during startup: a node that has joined leaves in
   * order, since callers may have its address; any other node closes at once.
   */
  private noteStarted(isJoined: boolean): readonly ShutdownStep[] {
    if (!this.isStopRequested) {
      return this.advance('starting', 'serving', null);
    }
    return isJoined
      ? this.advance('starting', 'leaving', {type: 'announce'})
      : this.advance('starting', 'closing', {type: 'close'});
  }

  private requestStop(): readonly ShutdownStep[] {
    if (this.isStopRequested) return NO_STEPS;
    this.isStopRequested = true;
    return this.current === 'starting'
      ? [{type: 'abort-start'}]
      : this.advance('serving', 'leaving', {type: 'announce'});
  }

  private abort(reason: ForcedStopReason): readonly ShutdownStep[] {
    if (!this.isStopRequested || this.current === 'ended') return NO_STEPS;
    const phase = this.current;
    this.current = 'ended';
    return [
      {type: 'cut-off', reason, phase},
      {type: 'exit', exitCode: EXIT_CUT_OFF},
    ];
  }

  private advance(
    from: ShutdownPhase,
    to: ShutdownPhase,
    step: ShutdownStep | null,
  ): readonly ShutdownStep[] {
    if (this.current !== from) return NO_STEPS;
    this.current = to;
    return step ? [step] : NO_STEPS;
  }
}
