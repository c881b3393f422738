/** Logs lost and regained dependencies and failed tasks of a node. */
import {type TypedError, toTypedError} from '@mimosatack/errors';
import {type EventLogger} from '@mimosatack/logger';

/** Called when the state of a dependency changes. */
export interface DependencyCallbacks {
  onLost: (error: TypedError) => void;
  onRegained: () => void;
}

export class FaultLog {
  constructor(private readonly logger: EventLogger) {}

  watchDependency(dependency: string): DependencyCallbacks {
    return {
      onLost: error => this.logger.log('dependency-lost', {dependency, error}),
      onRegained: () => this.logger.log('dependency-regained', {dependency}),
    };
  }

  /** Logs a failure after which the task continues. */
  logTaskFailure(thrown: unknown, task: string): void {
    this.logger.log('task-failed', {
      task,
      error: toTypedError(thrown),
      restartInMs: 0,
    });
  }
}
