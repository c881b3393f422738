import {TypedError} from '@mimosatack/errors';
import {
  type AppendCondition,
  type AppendOutcome,
  type KeyedRecord,
  type KeyedSnapshot,
  type KeyedTopic,
  type KeyedWrite,
  type ReadOutcome,
  type ReadTerms,
} from './keyed_topic.js';
import {StoreContact} from './store_contact.js';
import {StoreEra, findEra, toGlobalOffset, toStoreOffset} from './store_era.js';

/**
 * How an append fails: `refused` appends nothing, `lost` appends the records
 * but loses the response, `late` appends them on a call of
 * `applyDelayedAppends`.
 */
export type AppendFault = 'none' | 'refused' | 'lost' | 'late';

/** A topic in memory with fault injection for tests. */
export class MemoryKeyedTopic implements KeyedTopic {
  readonly era = new StoreEra();
  records: KeyedRecord[] = [];
  /** Whether every call fails. */
  isDown = false;
  appendFault: AppendFault = 'none';
  /** Offsets before this one have expired. */
  firstOffset = 0;
  readCount = 0;
  appendCount = 0;
  private readonly delayed: Array<() => void> = [];
  private readonly waiters = new Set<() => void>();

  constructor(readonly contact = new StoreContact()) {}

  get endOffset(): number {
    return toGlobalOffset(this.era.number, this.records.length);
  }

  async readSnapshot({onResponse}: ReadTerms = {}): Promise<KeyedSnapshot> {
    this.readCount += 1;
    this.failIfDown();
    this.recordAnswer(onResponse);
    const newest = new Map(this.records.map(record => [record.key, record]));
    return {
      records: [...newest.values()].filter(({value}) => value !== null),
      endOffset: this.endOffset,
    };
  }

  /** Waits for a record only where `waitMs` is above 0. */
  async readFrom(
    offset: number,
    waitMs: number,
    {signal, onResponse}: ReadTerms = {},
  ): Promise<ReadOutcome> {
    this.readCount += 1;
    this.failIfDown();
    const mayWait = waitMs > 0 && !this.lacks(offset);
    if (mayWait && offset >= this.endOffset) await this.wait(signal);
    this.failIfDown();
    this.recordAnswer(onResponse);
    if (this.lacks(offset)) return {status: 'expired'};
    return {
      status: 'read',
      records: this.records.slice(toStoreOffset(offset)),
      endOffset: this.endOffset,
    };
  }

  async append(
    writes: readonly KeyedWrite[],
    condition?: AppendCondition,
  ): Promise<AppendOutcome> {
    this.appendCount += 1;
    this.failIfDown();
    const fault = this.appendFault;
    if (fault === 'refused') throw makeUnavailable();
    if (fault === 'late') {
      this.delayed.push(() => this.apply(writes, condition));
      throw makeUnavailable();
    }
    const outcome = this.apply(writes, condition);
    this.recordAnswer();
    if (fault === 'lost') throw makeUnavailable();
    return outcome;
  }

  /** Applies the appends that `late` has delayed. */
  applyDelayedAppends(): void {
    this.delayed.splice(0).forEach(apply => apply());
  }

  /** Comes back from a copy with the first records; their offsets are of the next era. */
  restore(recordCount: number): void {
    const era = this.era.number + 1;
    this.records = this.records
      .slice(0, recordCount)
      .map((record, at) => ({...record, offset: toGlobalOffset(era, at)}));
    this.era.assumeNext();
  }

  private lacks(offset: number): boolean {
    const storeOffset = toStoreOffset(offset);
    return (
      findEra(offset) !== this.era.number ||
      storeOffset < this.firstOffset ||
      storeOffset > this.records.length
    );
  }

  /** Appends a record as another client would, free of append faults. */
  put(key: string, text: string | null): void {
    this.apply([{key, value: text === null ? null : Buffer.from(text)}]);
  }

  private apply(
    writes: readonly KeyedWrite[],
    condition?: AppendCondition,
  ): AppendOutcome {
    const offset = this.endOffset;
    if (condition && condition.atOffset !== offset) {
      return {status: 'refused', endOffset: offset};
    }
    writes.forEach(({key, value}) =>
      this.records.push({key, value, offset: this.endOffset}),
    );
    this.waiters.forEach(wake => wake());
    return {status: 'appended', offset, endOffset: this.endOffset};
  }

  private wait(signal?: AbortSignal): Promise<void> {
    return new Promise((resolve, reject) => {
      const unsubscribe = () => {
        this.waiters.delete(wake);
        signal?.removeEventListener('abort', onAbort);
      };
      const wake = () => {
        unsubscribe();
        resolve();
      };
      const onAbort = () => {
        unsubscribe();
        reject(makeUnavailable());
      };
      this.waiters.add(wake);
      signal?.addEventListener('abort', onAbort);
    });
  }

  private failIfDown(): void {
    if (!this.isDown) return;
    this.contact.recordFailure();
    throw makeUnavailable();
  }

  private recordAnswer(onResponse?: () => void): void {
    onResponse?.();
    this.contact.recordAnswer();
  }
}

function makeUnavailable(): TypedError {
  return new TypedError(
    'platform-unavailable',
    'The topic can not be reached.',
  );
}
