/** Drives the shutdown: does what the sequence says and tells it the outcome. */
import {type Clock, type Timer} from '@mimosatack/clock';
import {toTypedError} from '@mimosatack/errors';
import {type EventLogger} from '@mimosatack/logger';
import {type DrainGate} from './drain_gate.js';
import {
  type CutReason,
  type ShutdownInput,
  type ShutdownPhase,
  ShutdownSequence,
  type ShutdownStep,
} from './shutdown_sequence.js';

/** What the node does at each step. */
export interface ShutdownActions {
  /** Ends the start as soon as possible. */
  abortStart(): void;
  /** Tells the other nodes that this one leaves. */
  announce(): void;
  /** Gives to others what this node holds; nothing is in flight any more. */
  handOver(): Promise<void>;
  /** Closes all sockets. */
  close(): Promise<void>;
}

/** What the task is built from. */
export interface ShutdownTaskOptions {
  clock: Clock;
  logger: EventLogger;
  gate: DrainGate;
  actions: ShutdownActions;
  /** How long callers may still come with an address that they have cached. */
  tellCallersMs: number;
  /** How long the whole shutdown may take. */
  graceMs: number;
}

/** How long callers are given to hear that they were cut off. */
const CUT_NOTICE_MS = 500;

/** The task that owns the shutdown of one node. */
export class ShutdownTask {
  private readonly sequence = new ShutdownSequence();
  private readonly timers: Timer[] = [];
  private resolveExit: (exitCode: number) => void = () => undefined;
  private beganMs = 0;

  /** Resolves with the exit code once the process may end. */
  readonly exited = new Promise<number>(resolve => {
    this.resolveExit = resolve;
  });

  constructor(private readonly options: ShutdownTaskOptions) {}

  get phase(): ShutdownPhase {
    return this.sequence.phase;
  }

  get isStopping(): boolean {
    return this.sequence.isStopping;
  }

  /** The start has ended; `isJoined` tells whether other nodes know it. */
  noteStarted(isJoined: boolean): void {
    this.take({type: 'started', isJoined});
  }

  /** The first call begins the shutdown, a second one ends it at once. */
  requestStop(signal: string): void {
    if (this.isStopping) {
      this.take({type: 'cut', reason: 'second-signal'});
      return;
    }
    this.begin(signal);
    this.take({type: 'stop-requested'});
  }

  private begin(signal: string): void {
    const {clock, logger, gate, graceMs} = this.options;
    this.beganMs = clock.monotonicMs();
    logger.log('shutdown-started', {
      signal,
      requestsInFlight: gate.inFlight.count,
      graceMs,
    });
    this.setTimer(graceMs, {type: 'cut', reason: 'grace-over'});
  }

  private take(input: ShutdownInput): void {
    const before = this.phase;
    const steps = this.sequence.take(input);
    this.options.gate.follow(this.phase);
    if (this.phase !== before && this.isStopping) this.logPhase();
    void this.performAll(steps);
  }

  private async performAll(steps: readonly ShutdownStep[]): Promise<void> {
    for (const step of steps) await this.perform(step);
  }

  private async perform(step: ShutdownStep): Promise<void> {
    const {actions, gate, tellCallersMs} = this.options;
    switch (step.type) {
      case 'abort-start':
        return actions.abortStart();
      case 'announce':
        actions.announce();
        return this.setTimer(tellCallersMs, {type: 'callers-told'});
      case 'refuse-new-work':
        await gate.inFlight.whenZero();
        return this.take({type: 'nothing-in-flight'});
      case 'hand-over':
        await this.attempt('hand-over', actions.handOver());
        return this.take({type: 'handed-over'});
      case 'close':
        await this.attempt('close', actions.close());
        return this.take({type: 'closed'});
      case 'cut-off':
        return this.cutOff(step.reason, step.phase);
      case 'exit':
        return this.exit(step.exitCode);
    }
  }

  /** A step that fails must not keep the node from ending. */
  private async attempt(task: string, action: Promise<void>): Promise<void> {
    try {
      await action;
    } catch (thrown) {
      this.options.logger.log('task-failed', {
        task: `shutdown: ${task}`,
        error: toTypedError(thrown),
        restartInMs: null,
      });
    }
  }

  /** Says what is cut off, and tells the callers concerned. */
  private async cutOff(reason: CutReason, phase: ShutdownPhase): Promise<void> {
    const {gate, logger, clock, graceMs} = this.options;
    const requests = gate.inFlight.list();
    logger.log('shutdown-cut-off', {
      reason,
      phase,
      requestsInFlight: requests.length,
      requests: requests.map(request => ({...request})),
      graceMs,
    });
    gate.cutOff();
    const waited = new Promise<void>(resolve =>
      this.timers.push(clock.setTimer(CUT_NOTICE_MS, resolve)),
    );
    await Promise.race([gate.inFlight.whenZero(), waited]);
  }

  private exit(exitCode: number): void {
    const {clock, logger} = this.options;
    this.timers.forEach(timer => timer.cancel());
    if (exitCode === 0) {
      const durationMs = Math.round(clock.monotonicMs() - this.beganMs);
      logger.log('shutdown-finished', {durationMs});
    }
    this.resolveExit(exitCode);
  }

  private logPhase(): void {
    this.options.logger.log('shutdown-phase', {
      phase: this.phase,
      requestsInFlight: this.options.gate.inFlight.count,
    });
  }

  private setTimer(delayMs: number, input: ShutdownInput): void {
    const timer = this.options.clock.setTimer(delayMs, () => this.take(input));
    this.timers.push(timer);
  }
}
