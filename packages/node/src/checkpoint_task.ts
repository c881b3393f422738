/**
 * Writes checkpoints well within the time that the log keeps records, and
 * reads the newest one when this node starts or fell behind.
 */
import {type AgreedState} from '@mimosatack/agreed-state';
import {CheckpointStore} from '@mimosatack/checkpoints';
import {type Clock} from '@mimosatack/clock';
import {type LogFollower, type StateSource} from '@mimosatack/follow-log';
import {type EventLogger} from '@mimosatack/logger';
import {type LogService} from '@mimosatack/platform';
import {Task, type TaskErrorHandler} from '@mimosatack/tasks';

/** What the task is told. */
export type CheckpointMessage = {type: 'tick'};

/** What the task needs of the node. */
export interface CheckpointTaskOptions {
  clock: Clock;
  logger: EventLogger;
  follower: LogFollower;
  log: LogService;
  stream: string;
  /** Records after which a checkpoint is due. */
  everyRecords: number;
  /** Time after which one is due even when nothing changed. */
  intervalMs: number;
  /** The place of this node among those that may write; 0 is first. */
  findRank(): number;
  submitTimeoutMs: number;
}

/** How much longer each next node waits before it writes instead. */
const RANK_FACTOR = 0.5;

/** The task that writes and reads checkpoints. */
export class CheckpointTask
  extends Task<CheckpointMessage>
  implements StateSource
{
  private readonly store: CheckpointStore;
  private notedSequence = 0;
  private notedAtMs: number;

  constructor(
    private readonly options: CheckpointTaskOptions,
    onError: TaskErrorHandler,
  ) {
    super('checkpoints', onError);
    this.store = new CheckpointStore(options.log, options.stream);
    this.notedAtMs = options.clock.monotonicMs();
  }

  pullState(): Promise<AgreedState | null> {
    return this.store.readNewest();
  }

  protected async handle(_message: CheckpointMessage): Promise<void> {
    const {follower} = this.options;
    this.noteOthers();
    const {hasState, isLogReachable} = follower.status;
    if (hasState && isLogReachable && this.isDue()) await this.write();
  }

  /** Follows which checkpoints were noted in the log, by any node. */
  private noteOthers(): void {
    const {checkpointSequence} = this.options.follower.state;
    if (checkpointSequence <= this.notedSequence) return;
    this.notedSequence = checkpointSequence;
    this.notedAtMs = this.options.clock.monotonicMs();
  }

  /**
   * The first node in rank writes when one is due. Should it not, each next
   * one waits a little longer; two that write both do no harm.
   */
  private isDue(): boolean {
    const {follower, clock, everyRecords, intervalMs} = this.options;
    const rank = this.options.findRank();
    const patience = 1 + RANK_FACTOR * Math.max(0, rank);
    const records = follower.state.sequence - this.notedSequence;
    const sinceMs = clock.monotonicMs() - this.notedAtMs;
    return (
      follower.state.sequence > 0 &&
      (records >= everyRecords * patience || sinceMs >= intervalMs * patience)
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
    this.notedAtMs = this.options.clock.monotonicMs();
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
