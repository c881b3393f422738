/**
 * Writes checkpoints before the log drops the records they cover, and reads the
 * newest checkpoint when this node starts or has fallen behind.
 */
import {type AgreedState} from '@mimosatack/agreed-state';
import {CheckpointStore} from '@mimosatack/checkpoints';
import {type Clock} from '@mimosatack/clock';
import {type LogFollower, type StateSource} from '@mimosatack/follow-log';
import {type EventLogger} from '@mimosatack/logger';
import {type LogService} from '@mimosatack/platform';
import {Task, type TaskErrorHandler} from '@mimosatack/tasks';

export type CheckpointMessage = {type: 'tick'};

export interface CheckpointTaskOptions {
  clock: Clock;
  logger: EventLogger;
  follower: LogFollower;
  log: LogService;
  stream: string;
  /** Number of records after which a checkpoint is due. */
  everyRecords: number;
  /** Time after which a checkpoint is due, even without new records. */
  intervalMs: number;
  /**
   * Rank of this node among those that may write a checkpoint; 0 writes first.
   */
  findRank(): number;
  submitTimeoutMs: number;
}

/** Extra delay per rank, as a share of `everyRecords` and `intervalMs`. */
const RANK_DELAY_FACTOR = 0.5;

export class CheckpointTask
  extends Task<CheckpointMessage>
  implements StateSource
{
  private readonly store: CheckpointStore;
  private lastCheckpointSequence = 0;
  private lastCheckpointAtMs: number;

  constructor(
    private readonly options: CheckpointTaskOptions,
    onError: TaskErrorHandler,
  ) {
    super('checkpoints', onError);
    this.store = new CheckpointStore(options.log, options.stream);
    this.lastCheckpointAtMs = options.clock.monotonicMs();
  }

  pullState(): Promise<AgreedState | null> {
    return this.store.readNewest();
  }

  protected async handle(_message: CheckpointMessage): Promise<void> {
    const {follower} = this.options;
    this.noteCheckpoints();
    const {hasState, isLogReachable} = follower.status;
    if (hasState && isLogReachable && this.isDue()) await this.write();
  }

  /** Records the newest checkpoint that any node has noted in the log. */
  private noteCheckpoints(): void {
    const {checkpointSequence} = this.options.follower.state;
    if (checkpointSequence <= this.lastCheckpointSequence) return;
    this.lastCheckpointSequence = checkpointSequence;
    this.lastCheckpointAtMs = this.options.clock.monotonicMs();
  }

  /**
   * The node of rank 0 writes a due checkpoint; each lower-ranked node waits
   * longer before it writes instead. Two checkpoints of the same state are
   * harmless.
   */
  private isDue(): boolean {
    const {follower, clock, everyRecords, intervalMs} = this.options;
    const rank = this.options.findRank();
    const delayFactor = 1 + RANK_DELAY_FACTOR * Math.max(0, rank);
    const records = follower.state.sequence - this.lastCheckpointSequence;
    const sinceMs = clock.monotonicMs() - this.lastCheckpointAtMs;
    return (
      follower.state.sequence > 0 &&
      (records >= everyRecords * delayFactor ||
        sinceMs >= intervalMs * delayFactor)
    );
  }

  private async write(): Promise<void> {
    const {follower, logger, stream, submitTimeoutMs} = this.options;
    const {nextOffset, sequence} = follower.state;
    const sizeBytes = await this.store.write(follower.state);
    logger.log('checkpoint-written', {
      stream,
      coversOffset: nextOffset,
      sizeBytes,
    });
    this.lastCheckpointAtMs = this.options.clock.monotonicMs();
    await follower.submit(
      {
        type: 'note-checkpoint',
        coversOffset: nextOffset,
        coversSequence: sequence,
      },
      {timeoutMs: submitTimeoutMs},
    );
  }
}
