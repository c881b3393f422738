/** Reads one claim stream continuously and folds its records. */
import {sleep} from '@mimosatack/clock';
import {type TypedError, toTypedError} from '@mimosatack/errors';
import {addJitter} from '@mimosatack/random';
import {ClaimFold, type FoldedClaim} from './claim_fold.js';
import {type PartitionContext} from './claim_writer.js';
import {findStart} from './find_start.js';

export interface ReaderListener {
  /** Called for each folded append, and with no records at the stream's end. */
  onFolded(folded: readonly FoldedClaim[]): void;
  /** Called when the fold is discarded because unread records were trimmed. */
  onRestart(): void;
}

const READ_LIMIT = 500;
const RETRY_JITTER = 0.5;
/** Consecutive failed reads after which the reader reports a failure. */
const FAILURE_THRESHOLD = 2;

/** Owns the reads of one partition. */
export class ClaimReader {
  private activeFold: ClaimFold | null = null;
  private failures = 0;
  private isCaughtUp = false;

  constructor(
    private readonly context: PartitionContext,
    private readonly stopping: AbortSignal,
    private readonly listener: ReaderListener,
  ) {}

  /** Null until the fold has reached the end of the stream. */
  get fold(): ClaimFold | null {
    return this.isCaughtUp ? this.activeFold : null;
  }

  get isFailing(): boolean {
    return this.failures >= FAILURE_THRESHOLD;
  }

  /** Reads until the stop signal is aborted. */
  async run(): Promise<void> {
    while (!this.stopping.aborted) {
      try {
        await this.readPage(this.activeFold ?? (await this.startFold()));
        this.failures = 0;
      } catch (thrown) {
        await this.handleReadError(toTypedError(thrown));
      }
    }
  }

  private async startFold(): Promise<ClaimFold> {
    const {log, stream, clock, options} = this.context;
    const start = await findStart({
      log,
      stream,
      sinceMs: clock.wallMs() - options.windowMs - options.marginMs,
      signal: this.stopping,
    });
    this.activeFold = new ClaimFold(options, start);
    return this.activeFold;
  }

  private async readPage(fold: ClaimFold): Promise<void> {
    const {log, stream, options} = this.context;
    const page = await log.read({
      stream,
      from: fold.nextOffset,
      limit: READ_LIMIT,
      waitMs: this.isCaughtUp ? options.longPollMs : 0,
      signal: this.stopping,
    });
    page.records.forEach(record => {
      if (record.offset !== fold.nextOffset) return;
      this.listener.onFolded(fold.foldAppend(record.data));
    });
    if (fold.nextOffset < page.nextOffset || this.isCaughtUp) return;
    this.isCaughtUp = true;
    this.listener.onFolded([]);
  }

  private async handleReadError(error: TypedError): Promise<void> {
    if (this.stopping.aborted) return;
    if (error.kind === 'trimmed') this.discardFold();
    else this.failures += 1;
    const {clock, random, options} = this.context;
    const pauseMs = addJitter(random, options.retryDelayMs, RETRY_JITTER);
    await sleep(clock, pauseMs, this.stopping);
  }

  /** Discards the fold, as trimmed records may hold claims that it lacks. */
  private discardFold(): void {
    this.activeFold = null;
    this.isCaughtUp = false;
    this.listener.onRestart();
  }
}
