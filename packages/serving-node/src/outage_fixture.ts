/** A topic whose store is away for a while, as a node sees it. */
import {type ManualClock} from '@mimosatack/clock';
import {
  type KeyedSnapshot,
  MemoryKeyedTopic,
  type ReadOutcome,
  type ReadTerms,
} from '@mimosatack/keyed-store';

/** `busy`: calls are refused at once. `silent`: calls get no response. */
export type OutageKind = 'busy' | 'silent';

/** How long the store's client waits for a response, beside the wait for a record. */
const RESPONSE_TIMEOUT_MS = 1_500;

export class OutageTopic extends MemoryKeyedTopic {
  private outage: OutageKind | null = null;
  private readonly silentCalls = new Set<() => void>();

  constructor(private readonly clock: ManualClock) {
    super();
  }

  /** Calls that wait for a record get no response either. */
  beginOutage(kind: OutageKind): void {
    this.outage = kind;
    this.isDown = kind === 'busy';
    this.silentCalls.forEach(silence => silence());
  }

  /** What the outage has swallowed stays without a response. */
  endOutage(): void {
    this.outage = null;
    this.isDown = false;
  }

  override readSnapshot(): Promise<KeyedSnapshot> {
    return this.respond(0, undefined, () => super.readSnapshot());
  }

  override readFrom(
    offset: number,
    waitMs: number,
    {signal}: ReadTerms = {},
  ): Promise<ReadOutcome> {
    return this.respond(waitMs, signal, async () => {
      const ending = new AbortController();
      signal?.addEventListener('abort', () => ending.abort());
      const timer = this.clock.setTimer(waitMs, () => ending.abort());
      try {
        return await super.readFrom(offset, waitMs, {
          signal: ending.signal,
        });
      } catch (thrown) {
        if (signal?.aborted || this.isDown) throw thrown;
        return {status: 'read', records: [], endOffset: this.endOffset};
      } finally {
        timer.cancel();
      }
    });
  }

  private respond<T>(
    waitMs: number,
    signal: AbortSignal | undefined,
    read: () => Promise<T>,
  ): Promise<T> {
    return new Promise((resolve, reject) => {
      let isSilent = this.outage === 'silent';
      const silence = () => (isSilent = true);
      this.silentCalls.add(silence);
      const fail = () => reject(new Error('No response came in time.'));
      this.clock.setTimer(waitMs + RESPONSE_TIMEOUT_MS, fail);
      signal?.addEventListener('abort', fail);
      const settle = (act: () => void) => {
        this.silentCalls.delete(silence);
        if (!isSilent) act();
      };
      if (isSilent) return;
      read().then(
        outcome => settle(() => resolve(outcome)),
        (thrown: Error) => settle(() => reject(thrown)),
      );
    });
  }
}
