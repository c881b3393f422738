/** Shares the requests and prompt parts that crash servers with other nodes. */
import {type Clock} from '@mimosatack/clock';
import {
  CrashExchange,
  RequestContainment,
  SuspectRuns,
  type SuspectRunsOptions,
  decodeContained,
  encodeContained,
} from '@mimosatack/contain-requests';
import {TypedError} from '@mimosatack/errors';
import {type KeyedTopic} from '@mimosatack/keyed-store';
import {type EventLogger} from '@mimosatack/logger';
import {isPartSuspect} from '@mimosatack/types';
import {StoredRecord} from './stored_record.js';

/** Key of the record in the nodes topic; not a valid node name. */
export const CONTAINED_KEY = ':contained';

export interface ContainmentTaskOptions extends Pick<
  SuspectRunsOptions,
  'askHolder' | 'tellHolder'
> {
  clock: Clock;
  /** Unique to this process among all nodes. */
  incarnation: string;
  logger: EventLogger;
  /** Topic that every node reads when it starts. */
  topic: KeyedTopic;
  /** Whether this node writes the record for all nodes. */
  isWriter: () => boolean;
  onFault: (error: TypedError) => void;
}

/**
 * Keeps the record of what is contained in the store up to date.
 *
 * Guards against losing what is contained when all nodes restart at once, after
 * which each request crashes servers again. Nothing is written while nothing is
 * contained.
 */
export class ContainmentTask {
  readonly containment: RequestContainment;
  readonly exchange: CrashExchange;
  readonly suspects: SuspectRuns;
  private readonly record: StoredRecord;

  constructor(private readonly options: ContainmentTaskOptions) {
    const {clock} = options;
    this.containment = new RequestContainment({
      ...{clock, logger: options.logger, isProbingNode: options.isWriter},
    });
    const {containment} = this;
    this.exchange = new CrashExchange({clock, containment});
    this.suspects = new SuspectRuns({
      ...{clock, containment, isHolder: options.isWriter},
      ...{askHolder: options.askHolder, tellHolder: options.tellHolder},
      runIdPrefix: options.incarnation,
    });
    this.record = new StoredRecord({
      ...options,
      key: CONTAINED_KEY,
      encode: () =>
        encodeContained(
          containment.contained,
          containment.evidence.cutsBySuspect,
        ),
    });
  }

  get gauges(): {
    containedRequests: number;
    containedParts: number;
    suspected: number;
  } {
    const {contained, evidence} = this.containment;
    const containedParts = contained.filter(isPartSuspect).length;
    return {
      containedRequests: contained.length - containedParts,
      containedParts,
      suspected: evidence.cutsBySuspect.size - contained.length,
    };
  }

  /** Takes the record as what the store holds, without believing it. */
  noteStored(value: Uint8Array | null): void {
    this.record.noteStored(value);
  }

  /** Applies the record, read from the store or received from a peer. */
  applyRecord(value: Uint8Array | null): void {
    this.record.noteStored(value);
    if (!value) return;
    const facts = decodeContained(value, this.options.clock.monotonicMs());
    if (facts) this.containment.mergeFacts(facts);
    else this.options.onFault(makeInvalidRecordError());
  }

  /** Writes the record if it has changed; has to be called periodically. */
  syncRecord(): Promise<void> {
    return this.record.sync();
  }
}

function makeInvalidRecordError(): TypedError {
  return new TypedError(
    'record-invalid',
    'The record of contained requests has another form.',
    {run: 'not-run'},
  );
}
