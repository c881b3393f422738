/** Applies the memory budget to the requests of callers. */
import {
  MemoryBudget,
  type MemoryHolding,
  type MemoryRefusal,
} from '@mimosatack/bound-memory';
import {type Clock} from '@mimosatack/clock';
import {TypedError} from '@mimosatack/errors';

/** Receives what is done to bound the memory. */
export interface MemoryObserver {
  onPressure(isUnderPressure: boolean): void;
  onCutOff(requestId: string, heldBytes: number, unreadMs: number): void;
  onRefused(): void;
}

/** Much shorter than the time after which a caller is cut off. */
const REVIEW_INTERVAL_MS = 250;

interface OpenRequest {
  requestId: string;
  cutOff: () => void;
}

/** Reviews the budget while it is under pressure; costs no timer otherwise. */
export class MemoryWatch {
  readonly budget: MemoryBudget;
  private readonly requests = new Map<MemoryHolding, OpenRequest>();
  private isReviewing = false;

  constructor(
    private readonly clock: Clock,
    limitBytes: number,
    private readonly observer: MemoryObserver,
  ) {
    this.budget = new MemoryBudget(limitBytes, () => this.startReviews());
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
    this.budget.review(nowMs).cutOff.forEach(holding => {
      const {bytes, lastReadAtMs} = holding;
      const request = this.requests.get(holding);
      if (!request) return;
      this.observer.onCutOff(request.requestId, bytes, nowMs - lastReadAtMs);
      request.cutOff();
    });
    if (this.budget.isUnderPressure) {
      this.clock.setTimer(REVIEW_INTERVAL_MS, () => this.review());
    } else {
      this.isReviewing = false;
      this.observer.onPressure(false);
    }
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

  setHeldBack(bytes: number): void {
    this.options.holding.set('held-back', bytes, this.nowMs);
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
