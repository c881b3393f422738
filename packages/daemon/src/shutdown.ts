/** Ends a node in an orderly way, and says so in the log. */
import {type Clock} from '@mimosatack/clock';
import {type EventLogger} from '@mimosatack/logger';

/** What is stopped. */
export interface Stoppable {
  readonly requestsInFlight: number;
  /** Resolves once no request is in flight and everything is closed. */
  stop(): Promise<void>;
}

/** What a shutdown needs of the process. */
export interface ShutdownOptions {
  node: Stoppable;
  clock: Clock;
  logger: EventLogger;
  graceMs: number;
  exit(code: number): void;
}

const EXIT_STOPPED = 0;
const EXIT_CUT_OFF = 1;

/** Stops the node on the first signal, and cuts it off on the second. */
export class Shutdown {
  private isBegun = false;
  private isOver = false;

  constructor(private readonly options: ShutdownOptions) {}

  /** Takes a signal; the second one, or the end of the grace, cuts off. */
  take(signal: string): void {
    if (this.isBegun) {
      this.cutOff();
      return;
    }
    this.isBegun = true;
    void this.run(signal);
  }

  private async run(signal: string): Promise<void> {
    const {node, clock, logger, graceMs} = this.options;
    const startedAtMs = clock.monotonicMs();
    logger.log('shutdown-started', {
      signal,
      requestsInFlight: node.requestsInFlight,
      graceMs,
    });
    const timer = clock.setTimer(graceMs, () => this.cutOff());
    await node.stop();
    timer.cancel();
    if (this.isOver) return;
    this.isOver = true;
    const durationMs = clock.monotonicMs() - startedAtMs;
    logger.log('shutdown-finished', {durationMs});
    this.options.exit(EXIT_STOPPED);
  }

  private cutOff(): void {
    if (this.isOver) return;
    this.isOver = true;
    const {node, logger, graceMs} = this.options;
    logger.log('shutdown-cut-off', {
      requestsInFlight: node.requestsInFlight,
      graceMs,
    });
    this.options.exit(EXIT_CUT_OFF);
  }
}
