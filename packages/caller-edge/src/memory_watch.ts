/** Applies the memory budget to the requests of callers. */
import {
  MemoryBudget,
  type MemoryHolding,
  type MemoryRefusal,
} from '@mimosatack/bound-memory';
import {type Clock} from '@mimosatack/clock';
import {TypedError} from '@mimosatack/errors';
import {ReadProgress} from './read_progress.js';
import {type PeerAddress, type SendQueues} from './send_queues.js';

/** Receives what is done to bound the memory. */
export interface MemoryObserver {
  onPressure(isUnderPressure: boolean): void;
  onCutOff(requestId: string, heldBytes: number, unreadMs: number): void;
  onRefused(): void;
}

/** Much shorter than the time after which a caller is cut off. */
const REVIEW_INTERVAL_MS = 250;
/**
 * For how long the send queue of a caller has to stay the same. That of a caller that reads
 * 50 KB/s changes about every 2 s, and is looked at once a second.
 */
const MAX_UNCHANGED_MS = 4_000;

export interface MemoryWatchOptions {
  clock: Clock;
  limitBytes: number;
  observer: MemoryObserver;
  /** Reads what the kernel holds for callers' connections; null if unknown. */
  readSendQueues: () => Promise<SendQueues | null>;
}

interface OpenRequest {
  requestId: string;
  peer: PeerAddress;
  cutOff: () => void;
}

/** Reviews the budget while it is under pressure; costs no timer otherwise. */
export class MemoryWatch {
  readonly budget: MemoryBudget;
  private readonly requests = new Map<MemoryHolding, OpenRequest>();
  private readonly progress: ReadProgress<MemoryHolding>;
  private readonly clock: Clock;
  private readonly observer: MemoryObserver;
  private isReviewing = false;

  constructor({
    clock,
    limitBytes,
    observer,
    readSendQueues,
  }: MemoryWatchOptions) {
    this.clock = clock;
    this.observer = observer;
    this.budget = new MemoryBudget(limitBytes, () => this.startReviews());
    this.progress = new ReadProgress(clock, readSendQueues);
  }

  get gauges(): {memoryHeldBytes: number; memoryLimitBytes: number} {
    const {usedBytes, limitBytes} = this.budget;
    return {memoryHeldBytes: usedBytes, memoryLimitBytes: limitBytes};
  }

  /** Returns an error for a request that there is no memory for. */
  admit(request: OpenRequest, bodyBytes: number): RequestMemory | TypedError {
    const admitted = this.budget.admit(bodyBytes, this.clock.monotonicMs());
    if ('retryAfterMs' in admitted) return this.refuse(admitted);
    this.requests.set(admitted, request);
    return new RequestMemory({
      clock: this.clock,
      ...{budget: this.budget, holding: admitted},
      refuse: refusal => this.refuse(refusal),
      onClose: () => this.requests.delete(admitted),
    });
  }

  private refuse(refusal: MemoryRefusal): TypedError {
    this.observer.onRefused();
    return makeMemoryError(refusal);
  }

  private startReviews(): void {
    if (this.isReviewing) return;
    this.isReviewing = true;
    this.observer.onPressure(true);
    this.review();
  }

  private review(): void {
    const nowMs = this.clock.monotonicMs();
    const {cutOff} = this.budget.review(nowMs);
    cutOff.forEach(holding => this.cutOffIfUnread(holding, nowMs));
    if (this.budget.isExhausted) void this.recordReading();
    else this.progress.clear();
    if (this.budget.isUnderPressure) {
      this.clock.setTimer(REVIEW_INTERVAL_MS, () => this.review());
    } else {
      this.isReviewing = false;
      this.observer.onPressure(false);
    }
  }

  private cutOffIfUnread(holding: MemoryHolding, nowMs: number): void {
    const request = this.requests.get(holding);
    if (!request) return;
    const {requestId, peer} = request;
    if (!this.progress.isUnread(holding, peer, MAX_UNCHANGED_MS)) return;
    const unreadMs = nowMs - holding.lastReadAtMs;
    this.observer.onCutOff(requestId, holding.bytes, unreadMs);
    request.cutOff();
  }

  /** Guards against cutting off a caller that reads, but slowly. */
  private async recordReading(): Promise<void> {
    const unsent = [...this.requests].filter(([{unsentBytes}]) => unsentBytes);
    const peers = new Map(unsent.map(([holding, {peer}]) => [holding, peer]));
    const reading = await this.progress.findReading(peers);
    const nowMs = this.clock.monotonicMs();
    reading.forEach(holding => holding.recordRead(nowMs));
  }
}

interface RequestMemoryOptions {
  clock: Clock;
  budget: MemoryBudget;
  holding: MemoryHolding;
  refuse: (refusal: MemoryRefusal) => TypedError;
  onClose: () => void;
}

/** The memory of one request. */
export class RequestMemory {
  constructor(private readonly options: RequestMemoryOptions) {}

  /** Whether to read no more of the response while bytes of it are unsent. */
  get isPaused(): boolean {
    return this.options.holding.isPaused;
  }

  /** Returns an error if there is no memory for the body. */
  growBody(bodyBytes: number): TypedError | null {
    const {budget, holding, refuse} = this.options;
    const refusal = budget.growBody(holding, bodyBytes, this.nowMs);
    return refusal && refuse(refusal);
  }

  /** False if there is no memory for so many bytes of the response. */
  holdBack(bytes: number): boolean {
    const {budget, holding} = this.options;
    return budget.holdBack(holding, bytes, this.nowMs);
  }

  setUnsent(bytes: number): void {
    this.options.holding.set('unsent', bytes, this.nowMs);
  }

  /** Called when the connection of the caller has taken a chunk. */
  recordRead(unsentBytes: number): void {
    const {holding} = this.options;
    holding.recordRead(this.nowMs);
    holding.set('unsent', unsentBytes, this.nowMs);
  }

  close(): void {
    this.options.holding.close(this.nowMs);
    this.options.onClose();
  }

  private get nowMs(): number {
    return this.options.clock.monotonicMs();
  }
}

function makeMemoryError({retryAfterMs}: MemoryRefusal): TypedError {
  return new TypedError(
    'overloaded',
    'This node has no memory left for the request.',
    {run: 'not-run', retryAfterMs},
  );
}
