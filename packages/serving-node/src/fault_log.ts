/** Logs lost and regained dependencies, failed tasks and entries that were left out. */
import {type Clock} from '@mimosatack/clock';
import {type TypedError, toTypedError} from '@mimosatack/errors';
import {type ReadRecovery} from '@mimosatack/keyed-store';
import {type EventLogger, RateLimitedEventLogger} from '@mimosatack/logger';

/** Called when the state of a dependency changes. */
export interface DependencyCallbacks {
  onLost: (error: TypedError) => void;
  onRegained: (recovery: ReadRecovery) => void;
}

/** Called with the key of an entry that can't be used, and why. */
export interface EntryCallbacks {
  onLeftOut: (key: string, error: TypedError) => void;
}

/** Other writers decide how often entries that can't be used come. */
const MAX_LINES = 200;
const LINES_INTERVAL_MS = 60_000;
const MAX_KEY_CHARS = 80;

export class FaultLog {
  private readonly limitedLogger: EventLogger;

  constructor(
    private readonly logger: EventLogger,
    clock: Clock,
  ) {
    this.limitedLogger = new RateLimitedEventLogger(logger, {
      clock,
      limited: ['entry-left-out', 'task-failed'],
      maxPerInterval: MAX_LINES,
      intervalMs: LINES_INTERVAL_MS,
    });
  }

  watchDependency(dependency: string): DependencyCallbacks {
    return {
      onLost: error => this.logger.log('dependency-lost', {dependency, error}),
      onRegained: recovery =>
        this.logger.log('dependency-regained', {dependency, ...recovery}),
    };
  }

  /** Logs a failure after which the task continues. */
  logTaskFailure(thrown: unknown, task: string): void {
    this.limitedLogger.log('task-failed', {
      task,
      error: toTypedError(thrown),
      restartInMs: 0,
    });
  }

  /** Logs a record that can't be used, or a failure to read or write it. */
  logRecordFault(thrown: unknown, task: string, key: string): void {
    const error = toTypedError(thrown);
    if (error.kind !== 'record-invalid') this.logTaskFailure(error, task);
    else this.watchEntries(task).onLeftOut(key, error);
  }

  /** Logs entries that can't be used; the others of the list are followed. */
  watchEntries(list: string): EntryCallbacks {
    return {
      onLeftOut: (key, error) =>
        this.limitedLogger.log('entry-left-out', {
          ...{list, error},
          key: key.slice(0, MAX_KEY_CHARS),
        }),
    };
  }
}
