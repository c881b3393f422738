/** What a node does about requests that crash servers, wired together. */
import {type Clock} from '@mimosatack/clock';
import {
  CrashExchange,
  RequestContainment,
  decodeContained,
  encodeContained,
} from '@mimosatack/contain-requests';
import {TypedError, toTypedError} from '@mimosatack/errors';
import {type KeyedTopic} from '@mimosatack/keyed-store';
import {type EventLogger} from '@mimosatack/logger';

/** The key of the record; no node has such a name. */
export const CONTAINED_KEY = ':contained';

/** What the task is built from. */
export interface ContainmentTaskOptions {
  clock: Clock;
  logger: EventLogger;
  /** The topic that every node reads when it starts. */
  topic: KeyedTopic;
  /** Whether this node writes for all. */
  isWriter: () => boolean;
  onFault: (error: TypedError) => void;
}

/**
 * Keeps what is known of contained requests in step with the store.
 *
 * Guards against three more servers that end under each such request whenever
 * all nodes end at once. The record lies where each node looks at its start, and
 * nothing is written or read for it while nothing is contained.
 */
export class ContainmentTask {
  readonly containment: RequestContainment;
  readonly exchange: CrashExchange;
  /** As the store is known to have it. */
  private recorded: Uint8Array | null = null;
  private isWriting = false;

  constructor(private readonly options: ContainmentTaskOptions) {
    const {clock} = options;
    this.containment = new RequestContainment({
      ...{clock, logger: options.logger, isTrier: options.isWriter},
    });
    const {containment} = this;
    this.exchange = new CrashExchange({clock, containment});
  }

  get figures(): {containedRequests: number; suspectedRequests: number} {
    const {contained, evidence} = this.containment;
    const containedRequests = contained.length;
    const suspectedRequests = evidence.byRequest.size - containedRequests;
    return {containedRequests, suspectedRequests};
  }

  /** Takes the record, from the store or from a peer. */
  take(value: Uint8Array | null): void {
    this.recorded = value;
    if (!value) return;
    const facts = decodeContained(value, this.options.clock.monotonicMs());
    if (facts) this.containment.take(facts);
    else this.options.onFault(makeInvalid());
  }

  /** Writes the record if it is behind; to be called again and again. */
  async look(): Promise<void> {
    const {topic, isWriter, onFault} = this.options;
    if (this.isWriting || !isWriter()) return;
    const {contained, evidence} = this.containment;
    const value = encodeContained(contained, evidence.byRequest);
    if (isSame(value, this.recorded)) return;
    this.isWriting = true;
    try {
      await topic.append([{key: CONTAINED_KEY, value}]);
      this.recorded = value;
    } catch (thrown) {
      // It is still behind at the next look.
      onFault(toTypedError(thrown));
    } finally {
      this.isWriting = false;
    }
  }
}

function isSame(one: Uint8Array | null, other: Uint8Array | null): boolean {
  if (one === null || other === null) return one === other;
  return Buffer.from(one).equals(other);
}

function makeInvalid(): TypedError {
  return new TypedError(
    'record-invalid',
    'The record of contained requests has another form.',
    {run: 'not-run'},
  );
}
