/**
 * The tickets of this process. No other process runs them, so this table
 * alone decides, and it works while the log service is down.
 */
import {type Clock} from '@mimosatack/clock';
import {TypedError} from '@mimosatack/errors';
import {GENERATION_MS, KEPT_GENERATIONS, generationAt} from './generation.js';
import {type KeptAnswer, type KeyedAnswer} from './kept_answer.js';
import {type KeyedRequest, KeyTable, type RememberedKey} from './key_table.js';
import {makeOutcomeUnknown} from './refusals.js';

/** Limits of the memory for tickets. */
export interface TicketTableOptions {
  clock: Clock;
  maxKeys?: number;
  maxAnswerBytes?: number;
  maxKeptBytes?: number;
}

/** What another process needs in order to answer for this one. */
export interface TicketTableExport {
  /** Older keys were forgotten and are unknown. */
  floorGeneration: number;
  keys: RememberedKey[];
}

/** Some 200 keys a second for the whole time that they are kept. */
const DEFAULT_MAX_KEYS = 200_000;
const DEFAULT_MAX_ANSWER_BYTES = 64 * 1024;
const DEFAULT_MAX_KEPT_BYTES = 32 * 1024 * 1024;
/** A caller caches its prefix for a while, so the last two must stay. */
const MIN_KEPT_GENERATIONS = 2;

/** Runs the tickets of this process at most once each. */
export class TicketTable {
  private readonly table: KeyTable;
  private readonly maxKeys: number;
  private newestGeneration: number;
  private floorGeneration: number;
  private isClosed = false;

  constructor(private readonly options: TicketTableOptions) {
    this.maxKeys = options.maxKeys ?? DEFAULT_MAX_KEYS;
    this.newestGeneration = generationAt(options.clock.wallMs());
    this.floorGeneration = this.newestGeneration - KEPT_GENERATIONS + 1;
    this.table = new KeyTable({
      clock: options.clock,
      maxAnswerBytes: options.maxAnswerBytes ?? DEFAULT_MAX_ANSWER_BYTES,
      maxKeptBytes: options.maxKeptBytes ?? DEFAULT_MAX_KEPT_BYTES,
      isFreeAfter: error => error.run === 'not-run',
    });
  }

  get size(): number {
    return this.table.size;
  }

  /** Runs the ticket unless it was begun before or can't be ruled out. */
  async runOnce(
    request: KeyedRequest,
    start: () => Promise<KeptAnswer>,
  ): Promise<KeyedAnswer> {
    this.forgetOld();
    this.refuseForgotten(request);
    if (!this.table.has(request)) this.refuseNew(request);
    return this.table.runOnce(request, start);
  }

  /** Takes no new keys from now on; for good. */
  close(): void {
    this.isClosed = true;
  }

  whenIdle(): Promise<void> {
    return this.table.whenIdle();
  }

  /** Only complete once the table is closed. */
  export(): TicketTableExport {
    return {floorGeneration: this.floorGeneration, keys: this.table.list()};
  }

  /**
   * Guards against a second run after memory was freed: the floor only rises,
   * also when the wall clock is set back, so a forgotten key stays forgotten.
   */
  private forgetOld(): void {
    const {clock} = this.options;
    const now = generationAt(clock.wallMs());
    this.newestGeneration = Math.max(this.newestGeneration, now);
    this.raiseFloor(this.newestGeneration - KEPT_GENERATIONS + 1);
  }

  private raiseFloor(generation: number): void {
    this.floorGeneration = Math.max(this.floorGeneration, generation);
    this.table.dropBefore(this.floorGeneration);
  }

  private refuseForgotten({generation}: KeyedRequest): void {
    if (generation >= this.floorGeneration) return;
    throw makeOutcomeUnknown('The key is too old to be remembered.');
  }

  /** All that is refused here was never begun by the only process that may. */
  private refuseNew({generation}: KeyedRequest): void {
    if (this.isClosed) {
      throw new TypedError('shutting-down', 'This node is shutting down.', {
        run: 'not-run',
        remedy: 'Take a new keyPrefix and address from /v1/entries.',
      });
    }
    if (generation > this.newestGeneration + 1) {
      throw new TypedError(
        'bad-key',
        'The prefix of the key was given out at a later time than now.',
        {run: 'not-run', remedy: 'Take a new keyPrefix from /v1/entries.'},
      );
    }
    if (this.table.size >= this.maxKeys) this.makeRoom();
  }

  /** Forgets the oldest keys early rather than refuse new ones. */
  private makeRoom(): void {
    const oldest = this.table.oldestGeneration ?? this.newestGeneration;
    if (oldest > this.newestGeneration - MIN_KEPT_GENERATIONS) {
      throw new TypedError('overloaded', 'Too many keys are remembered.', {
        run: 'not-run',
        retryAfterMs: GENERATION_MS,
      });
    }
    this.raiseFloor(oldest + 1);
  }
}
