/** Performs the steps of the shutdown sequence and reports their completion. */
import {type Clock, type Timer} from '@mimosatack/clock';
import {toTypedError} from '@mimosatack/errors';
import {type EventLogger} from '@mimosatack/logger';
import {type DrainGate} from './drain_gate.js';
import {
  type ForcedStopReason,
  type ShutdownEvent,
  type ShutdownPhase,
  ShutdownSequence,
  type ShutdownStep,
} from './shutdown_sequence.js';

/** Callbacks that the node performs at each step. */
export interface ShutdownActions {
  /** Aborts startup. */
  abortStart(): void;
  /** Informs the other nodes that this one leaves. */
  announce(): void;
  /** Moves the state of this node to others once no work is in flight. */
  handOver(): Promise<void>;
  /** Closes all sockets. */
  close(): Promise<void>;
}

export interface ShutdownTaskOptions {
  clock: Clock;
  logger: EventLogger;
  gate: DrainGate;
  actions: ShutdownActions;
  /** How long callers may keep using a cached address of this node. */
  addressExpiryMs: number;
  /** Time limit for the whole shutdown. */
  graceMs: number;
}

/** Time for callers to receive the error after their request was aborted. */
const ABORT_NOTICE_MS = 500;

/** Runs the shutdown of one node. */
export class ShutdownTask {
  private readonly sequence = new ShutdownSequence();
  private readonly timers: Timer[] = [];
  private resolveExit: (exitCode: number) => void = () => undefined;
  private startedAtMs = 0;

  /** Resolves with the exit code when the process may exit. */
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

  /** Startup has finished; `isJoined` is true if the node joined the cluster. */
  noteStarted(isJoined: boolean): void {
    this.take({type: 'started', isJoined});
  }

  /** The first call starts the shutdown; a second one cuts it short. */
  requestStop(signal: string): void {
    if (this.isStopping) {
      this.take({type: 'cut', reason: 'second-signal'});
      return;
    }
    this.startShutdown(signal);
    this.take({type: 'stop-requested'});
  }

  private startShutdown(signal: string): void {
    const {clock, logger, gate, graceMs} = this.options;
    this.startedAtMs = clock.monotonicMs();
    logger.log('shutdown-started', {
      signal,
      requestsInFlight: gate.inFlight.count,
      graceMs,
    });
    gate.scheduleCutOff(this.startedAtMs + graceMs);
    this.scheduleInput(graceMs, {type: 'cut', reason: 'grace-over'});
  }

  private take(input: ShutdownEvent): void {
    const previousPhase = this.phase;
    const steps = this.sequence.apply(input);
    this.options.gate.applyPhase(this.phase);
    if (this.phase !== previousPhase && this.isStopping) this.logPhase();
    void this.runSteps(steps);
  }

  private async runSteps(steps: readonly ShutdownStep[]): Promise<void> {
    for (const step of steps) await this.runStep(step);
  }

  private async runStep(step: ShutdownStep): Promise<void> {
    const {actions, gate, addressExpiryMs} = this.options;
    switch (step.type) {
      case 'abort-start':
        return actions.abortStart();
      case 'announce':
        actions.announce();
        return this.scheduleInput(addressExpiryMs, {type: 'callers-told'});
      case 'refuse-new-work':
        await gate.inFlight.whenIdle();
        return this.take({type: 'nothing-in-flight'});
      case 'hand-over':
        await this.runOrLog('hand-over', actions.handOver());
        return this.take({type: 'handed-over'});
      case 'close':
        await this.runOrLog('close', actions.close());
        return this.take({type: 'closed'});
      case 'cut-off':
        return this.abortInFlight(step.reason, step.phase);
      case 'exit':
        return this.exit(step.exitCode);
    }
  }

  /** Logs a failed step, which must not keep the process from exiting. */
  private async runOrLog(task: string, action: Promise<void>): Promise<void> {
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

  /** Logs the work in flight, aborts it and allows time for the error replies. */
  private async abortInFlight(
    reason: ForcedStopReason,
    phase: ShutdownPhase,
  ): Promise<void> {
    const {gate, logger, clock, graceMs} = this.options;
    const requests = gate.inFlight.list();
    logger.log('shutdown-cut-off', {
      reason,
      phase,
      requestsInFlight: requests.length,
      requests: requests.map(request => ({...request})),
      graceMs,
    });
    gate.abortInFlight();
    const noticeElapsed = new Promise<void>(resolve =>
      this.timers.push(clock.setTimer(ABORT_NOTICE_MS, resolve)),
    );
    await Promise.race([gate.inFlight.whenIdle(), noticeElapsed]);
  }

  private exit(exitCode: number): void {
    const {clock, logger} = this.options;
    this.timers.forEach(timer => timer.cancel());
    if (exitCode === 0) {
      const durationMs = Math.round(clock.monotonicMs() - this.startedAtMs);
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

  private scheduleInput(delayMs: number, input: ShutdownEvent): void {
    const timer = this.options.clock.setTimer(delayMs, () => this.take(input));
    this.timers.push(timer);
  }
}
