/** Logs what a node loses, regains and can not do. */
import {type TypedError, toTypedError} from '@mimosatack/errors';
import {type EventLogger} from '@mimosatack/logger';

/** Told of a dependency, by whatever follows it. */
export interface DependencyWatch {
  onLost: (error: TypedError) => void;
  onRegained: () => void;
}

/** The lines of all tasks of one node. */
export class FaultLog {
  constructor(private readonly logger: EventLogger) {}

  watch(dependency: string): DependencyWatch {
    return {
      onLost: error => this.logger.log('dependency-lost', {dependency, error}),
      onRegained: () => this.logger.log('dependency-regained', {dependency}),
    };
  }

  /** A task that goes on all the same. */
  note(thrown: unknown, task: string): void {
    this.logger.log('task-failed', {
      task,
      error: toTypedError(thrown),
      restartInMs: 0,
    });
  }
}
