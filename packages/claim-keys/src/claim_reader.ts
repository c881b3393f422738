/** Follows one claim stream and folds it. */
import {sleep} from '@mimosatack/clock';
import {type TypedError, toTypedError} from '@mimosatack/errors';
import {addJitter} from '@mimosatack/random';
import {ClaimFold, type FoldedClaim} from './claim_fold.js';
import {type PartitionContext} from './claim_writer.js';
import {findStart} from './find_start.js';

/** Told of every append that was folded, and of a fold that began anew. */
export interface ReaderListener {
  onFolded(folded: readonly FoldedClaim[]): void;
  onRestart(): void;
}

const READ_LIMIT = 500;
const RETRY_JITTER = 0.5;
/** One lost read is no outage yet. */
const FAILING_AFTER = 2;

/** The task that owns the reads of one partition. */
export class ClaimReader {
  private current: ClaimFold | null = null;
  private failures = 0;
  private isComplete = false;

  constructor(
    private readonly context: PartitionContext,
    private readonly stopping: AbortSignal,
    private readonly listener: ReaderListener,
  ) {}

  /** The fold once it has reached the end of the stream, else null. */
  get fold(): ClaimFold | null {
    return this.isComplete ? this.current : null;
  }

  get isFailing(): boolean {
    return this.failures >= FAILING_AFTER;
  }

  /** Reads until it is stopped. */
  async run(): Promise<void> {
    while (!this.stopping.aborted) {
      try {
        await this.readOnce(this.current ?? (await this.begin()));
        this.failures = 0;
      } catch (thrown) {
        await this.recover(toTypedError(thrown));
      }
    }
  }

  private async begin(): Promise<ClaimFold> {
    const {log, stream, clock, options} = this.context;
    const start = await findStart({
      log,
      stream,
      sinceMs: clock.wallMs() - options.windowMs - options.marginMs,
      signal: this.stopping,
    });
    this.current = new ClaimFold(options, start);
    return this.current;
  }

  private async readOnce(fold: ClaimFold): Promise<void> {
    const {log, stream, options} = this.context;
    const page = await log.read({
      stream,
      from: fold.nextOffset,
      limit: READ_LIMIT,
      waitMs: this.isComplete ? options.longPollMs : 0,
      signal: this.stopping,
    });
    page.records.forEach(record => {
      if (record.offset !== fold.nextOffset) return;
      this.listener.onFolded(fold.foldAppend(record.data));
    });
    if (fold.nextOffset < page.nextOffset || this.isComplete) return;
    this.isComplete = true;
    this.listener.onFolded([]);
  }

  private async recover(error: TypedError): Promise<void> {
    if (this.stopping.aborted) return;
    if (error.kind === 'trimmed') this.restart();
    else this.failures += 1;
    const {clock, random, options} = this.context;
    const pauseMs = addJitter(random, options.retryDelayMs, RETRY_JITTER);
    await sleep(clock, pauseMs, this.stopping);
  }

  /** The next append is gone; what it claimed must count as unknown. */
  private restart(): void {
    this.current = null;
    this.isComplete = false;
    this.listener.onRestart();
  }
}
