/**
 * The order of a graceful shutdown, as a state machine: it is told what has
 * happened and says what is to be done next. It knows no time and no socket.
 */

/**
 * `starting`: not known to anyone yet. `leaving`: peers and callers are told,
 * and what still arrives is served. `refusing`: new work is refused, work in
 * flight ends. `handing-over`: nothing is in flight any more; what this node
 * holds goes to others. `closing`: sockets are closed. `ended`: the process
 * may exit.
 */
export type ShutdownPhase =
  | 'starting'
  | 'serving'
  | 'leaving'
  | 'refusing'
  | 'handing-over'
  | 'closing'
  | 'ended';

/** What has happened. */
export type ShutdownInput =
  /** Start has ended; `isJoined` tells whether other nodes know this one. */
  | {type: 'started'; isJoined: boolean}
  | {type: 'stop-requested'}
  /** The time is over in which callers may still use a cached address. */
  | {type: 'callers-told'}
  | {type: 'nothing-in-flight'}
  | {type: 'handed-over'}
  | {type: 'closed'}
  /** A second signal, or the grace is over. */
  | {type: 'cut'; reason: CutReason};

/** Why a shutdown did not wait any longer. */
export type CutReason = 'second-signal' | 'grace-over';

/** What is to be done. */
export type ShutdownStep =
  /** Ends the start as soon as possible. */
  | {type: 'abort-start'}
  /** Tells peers and callers; then waits until callers have heard. */
  | {type: 'announce'}
  /** Refuses new work; then waits until nothing is in flight. */
  | {type: 'refuse-new-work'}
  | {type: 'hand-over'}
  | {type: 'close'}
  | {type: 'cut-off'; reason: CutReason; phase: ShutdownPhase}
  | {type: 'exit'; exitCode: number};

export const EXIT_STOPPED = 0;
export const EXIT_CUT_OFF = 3;

const NOTHING: readonly ShutdownStep[] = [];

/** One shutdown, from start to exit. */
export class ShutdownSequence {
  private current: ShutdownPhase = 'starting';
  private isStopRequested = false;

  get phase(): ShutdownPhase {
    return this.current;
  }

  /** Whether a stop was asked for, in whatever phase. */
  get isStopping(): boolean {
    return this.isStopRequested;
  }

  /** Takes what has happened; inputs that come too late change nothing. */
  take(input: ShutdownInput): readonly ShutdownStep[] {
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
        return this.cut(input.reason);
    }
  }

  /**
   * Guards against a stop that comes while the node starts: it may have been
   * told to its peers half-way. A node that nobody knows closes at once; one
   * that has joined leaves like any other, since callers may have its address.
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
    if (this.isStopRequested) return NOTHING;
    this.isStopRequested = true;
    return this.current === 'starting'
      ? [{type: 'abort-start'}]
      : this.advance('serving', 'leaving', {type: 'announce'});
  }

  private cut(reason: CutReason): readonly ShutdownStep[] {
    if (!this.isStopRequested || this.current === 'ended') return NOTHING;
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
    if (this.current !== from) return NOTHING;
    this.current = to;
    return step ? [step] : NOTHING;
  }
}
