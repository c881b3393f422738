/**
 * The tickets of this process. No other process runs them, so this table is
 * authoritative and works while the log service is unavailable.
 */
import {type Clock} from '@mimosatack/clock';
import {TypedError} from '@mimosatack/errors';
import {GENERATION_MS, KEPT_GENERATIONS, generationAt} from './generation.js';
import {type KeptAnswer, type KeyedAnswer} from './kept_answer.js';
import {
  type KeyedRequest,
  KeyTable,
  type FinishedKeyRecord,
} from './key_table.js';
import {makeOutcomeUnknownError} from './refusals.js';

export interface TicketTableOptions {
  clock: Clock;
  maxKeys?: number;
  maxAnswerBytes?: number;
  maxKeptBytes?: number;
}

/** The data with which another process reports the outcomes of this one. */
export interface TicketTableExport {
  /** Keys of older generations were removed, and their outcomes are unknown. */
  floorGeneration: number;
  keys: FinishedKeyRecord[];
}

/** Allows about 200 keys per second for the whole retention time. */
const DEFAULT_MAX_KEYS = 200_000;
const DEFAULT_MAX_ANSWER_BYTES = 64 * 1024;
const DEFAULT_MAX_KEPT_BYTES = 32 * 1024 * 1024;
/** Callers cache their prefix, so the previous generation stays valid. */
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
      canRunAgainAfter: error => error.run === 'not-run',
    });
  }

  get size(): number {
    return this.table.size;
  }

  /**
   * Runs the ticket or returns the outcome of its earlier run. Rejects if it is
   * unknown whether the ticket has run before.
   */
  async runOnce(
    request: KeyedRequest,
    start: () => Promise<KeptAnswer>,
  ): Promise<KeyedAnswer> {
    this.removeExpired();
    this.rejectExpired(request);
    if (!this.table.has(request)) this.admitNew(request);
    return this.table.runOnce(request, start);
  }

  /** Rejects new keys from now on. */
  close(): void {
    this.isClosed = true;
  }

  whenIdle(): Promise<void> {
    return this.table.whenIdle();
  }

  /** The result is complete only after `close`. */
  export(): TicketTableExport {
    return {floorGeneration: this.floorGeneration, keys: this.table.list()};
  }

  /**
   * Guards against a second run of a removed key: the floor never decreases, even
   * if the wall clock is set back.
   */
  private removeExpired(): void {
    const {clock} = this.options;
    const now = generationAt(clock.wallMs());
    this.newestGeneration = Math.max(this.newestGeneration, now);
    this.raiseFloor(this.newestGeneration - KEPT_GENERATIONS + 1);
  }

  private raiseFloor(generation: number): void {
    this.floorGeneration = Math.max(this.floorGeneration, generation);
    this.table.dropBefore(this.floorGeneration);
  }

  private rejectExpired({generation}: KeyedRequest): void {
    if (generation >= this.floorGeneration) return;
    throw makeOutcomeUnknownError('The key is too old to be remembered.');
  }

  /** The errors say `not-run`: only this process could have started the key. */
  private admitNew({generation}: KeyedRequest): void {
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
    if (this.table.size >= this.maxKeys) this.evictOldest();
  }

  /** Evicts the oldest keys early instead of rejecting new ones. */
  private evictOldest(): void {
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
