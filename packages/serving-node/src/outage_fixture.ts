/** A topic whose store is away for a while, as a node sees it. */
import {type ManualClock} from '@mimosatack/clock';
import {
  type AppendCondition,
  type AppendOutcome,
  type KeyedSnapshot,
  type KeyedTopic,
  type KeyedWrite,
  MemoryKeyedTopic,
  type ReadOutcome,
  type ReadTerms,
  StoreContact,
} from '@mimosatack/keyed-store';

/** `busy`: calls are refused at once. `silent`: calls get no response. */
export type OutageKind = 'busy' | 'silent';

/** How long the store's client waits for a response, beside the wait for a record. */
const RESPONSE_TIMEOUT_MS = 1_500;

export class OutageTopic implements KeyedTopic {
  private readonly topic = new MemoryKeyedTopic();
  private outage: OutageKind | null = null;
  private readonly silentCalls = new Set<() => void>();

  constructor(
    private readonly clock: ManualClock,
    readonly contact = new StoreContact(),
  ) {}

  get era() {
    return this.topic.era;
  }

  put(key: string, text: string): void {
    this.topic.put(key, text);
  }

  /** Calls that wait for a record get no response either. */
  beginOutage(kind: OutageKind): void {
    this.outage = kind;
    this.silentCalls.forEach(silence => silence());
  }

  /** What the outage has swallowed stays without a response. */
  endOutage(): void {
    this.outage = null;
  }

  readSnapshot(terms?: ReadTerms): Promise<KeyedSnapshot> {
    return this.respond(0, terms, () => this.topic.readSnapshot());
  }

  readFrom(
    offset: number,
    waitMs: number,
    terms: ReadTerms = {},
  ): Promise<ReadOutcome> {
    return this.respond(waitMs, terms, async () => {
      const ending = new AbortController();
      terms.signal?.addEventListener('abort', () => ending.abort());
      const timer = this.clock.setTimer(waitMs, () => ending.abort());
      const {signal} = ending;
      try {
        return await this.topic.readFrom(offset, waitMs, {signal});
      } catch (thrown) {
        if (terms.signal?.aborted) throw thrown;
        const {endOffset} = this.topic;
        return {status: 'read', records: [], endOffset};
      } finally {
        timer.cancel();
      }
    });
  }

  append(
    writes: readonly KeyedWrite[],
    condition?: AppendCondition,
  ): Promise<AppendOutcome> {
    return this.respond(0, {}, () => this.topic.append(writes, condition));
  }

  private respond<T>(
    waitMs: number,
    {signal, onResponse}: ReadTerms = {},
    call: () => Promise<T>,
  ): Promise<T> {
    return new Promise((resolve, reject) => {
      let isSilent = this.outage === 'silent';
      let isSettled = false;
      const silence = () => (isSilent = true);
      const settle = (act: () => void) => {
        if (isSettled) return;
        isSettled = true;
        this.silentCalls.delete(silence);
        act();
      };
      const fail = () =>
        settle(() => {
          this.contact.recordFailure();
          reject(new Error('The store did not answer.'));
        });
      this.silentCalls.add(silence);
      this.clock.setTimer(waitMs + RESPONSE_TIMEOUT_MS, fail);
      signal?.addEventListener('abort', () =>
        settle(() => reject(new Error('The answer is no longer wanted.'))),
      );
      if (this.outage === 'busy') return fail();
      if (isSilent) return;
      const answer = (act: () => void) => {
        if (isSilent) return;
        settle(() => {
          onResponse?.();
          this.contact.recordAnswer();
          act();
        });
      };
      call().then(
        outcome => answer(() => resolve(outcome)),
        () => undefined,
      );
    });
  }
}
