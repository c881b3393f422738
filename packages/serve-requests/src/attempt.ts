/** Sends a request to one backend server and reads the response. */
import {
  type AnswerHead,
  type AnswerReceiver,
  type BackendConnections,
  type CallHandle,
  type ResponseIdentity,
  type ResponseSource,
  isForeignResponse,
  isMalformedResponse,
  isRelayLost,
} from '@mimosatack/backend-connections';
import {type Clock, type Timer} from '@mimosatack/clock';
import {TypedError} from '@mimosatack/errors';
import {
  type AnswerFacts,
  type BackendDialect,
  type NamedTerms,
  type SendParameters,
  type ServerLoad,
} from './backend_dialect.js';
import {type CallerRequest} from './caller_request.js';
import {type NamedLimit} from '@mimosatack/share-limits';
import {type AvailabilityFacts} from '@mimosatack/track-availability';
import {type AttemptResult} from './server_chooser.js';

/** What delimits a response: `close` stands for the end of its connection. */
export type ResponseFraming = 'length' | 'chunks' | 'close';

export type NotRunReason = 'unreachable' | 'not-held' | 'not-taken';

export type AttemptOutcome =
  /**
   * The consumer received the complete response.
   * `isDelimited`: the response says where it ends; otherwise it ended with its
   * connection, as it may in a server crash, too.
   */
  | {status: 'answered'; isSuccess: boolean; isDelimited: boolean}
  /** The server has not run the request and will not run it. */
  | {status: 'not-run'; error: TypedError; reason: NotRunReason}
  /** The consumer discarded an error response of the server. */
  | {status: 'refusing'; error: TypedError}
  /**
   * The request may have run, and the consumer may have a part of the response.
   * `isConnectionLost`: the connection closed before the response was complete,
   * as in a server crash.
   */
  | {status: 'broken'; error: TypedError; isConnectionLost: boolean}
  /** Aborted by this node; `isSent`: after bytes of the request were written. */
  | {status: 'aborted'; isSent: boolean};

/** What an outcome means for the choice of servers. */
export function toAttemptResult(outcome: AttemptOutcome): AttemptResult {
  switch (outcome.status) {
    case 'answered':
      return 'answered';
    case 'not-run':
      return outcome.reason;
    case 'aborted':
      return 'neutral';
    case 'broken':
      return isRelayLost(outcome.error) ? 'neutral' : 'failed';
    default:
      return 'failed';
  }
}

/** Receives the response of an attempt in chunks. */
export interface AnswerConsumer {
  /** `discard` drops an error response, so that the request can be retried. */
  onHead(facts: AnswerFacts): 'take' | 'discard';
  /** False pauses the response until `Attempt.resume`; an error fails the attempt. */
  onData(chunk: Uint8Array): boolean | TypedError;
  /** Called after the last byte; returns an error for incomplete content. */
  onEnd(): TypedError | null;
}

export interface AttemptOptions {
  connections: BackendConnections;
  dialect: BackendDialect;
  clock: Clock;
  request: CallerRequest;
  identity: ResponseIdentity;
  terms: SendParameters;
  consumer: AnswerConsumer;
  connectTimeoutMs: number;
  maxIdleMs: number;
  onLoad: (load: ServerLoad) => void;
  /** Called with the status of each response of the call. */
  onStatus: (
    status: number,
    source: ResponseSource,
    framing: ResponseFraming,
  ) => void;
  /** Called with what each response says, unless another server responded. */
  onAvailability: (availability: AvailabilityFacts) => void;
  /** Called with the limit of each response of the chosen server. */
  onLimit: (limit: NamedLimit) => void;
  onTerms: (terms: NamedTerms) => void;
}

/** Time for the rest of a response that is not wanted. */
const MAX_DROP_MS = 1_000;
/** Size of the rest; a new connection is cheaper than to read more. */
const MAX_DROPPED_BYTES = 65_536;
const STATUS_OK_MIN = 200;
const STATUS_OK_MAX = 299;
const FRAMING_HEADERS: ReadonlyMap<string, ResponseFraming> = new Map([
  ['transfer-encoding', 'chunks'],
  ['content-length', 'length'],
]);

export class Attempt implements AnswerReceiver {
  readonly outcome: Promise<AttemptOutcome>;
  hasHead = false;
  private resolve!: (outcome: AttemptOutcome) => void;
  private handle: CallHandle | null = null;
  private isFinished = false;
  private dropTimer: Timer | null = null;
  private isSuccess = false;
  private isDelimited = false;
  private droppedBytes = 0;

  constructor(private readonly options: AttemptOptions) {
    this.outcome = new Promise(resolve => (this.resolve = resolve));
  }

  start(): void {
    const {connections, dialect, request, terms} = this.options;
    const {identity} = this.options;
    const handle = connections.send(
      {
        address: terms.server.address,
        method: request.method,
        path: request.path,
        headers: dialect.makeHeaders(request, terms),
        body: request.body.length > 0 ? request.body : null,
        maxIdleMs: this.options.maxIdleMs,
        connectTimeoutMs: this.options.connectTimeoutMs,
        identity,
      },
      this,
    );
    this.handle = handle;
    if (this.isFinished) handle.abort();
  }

  /** Continues reading after the consumer has paused the response. */
  resume(): void {
    this.handle?.resume();
  }

  /** Ends the attempt as broken, so that another server can take over. */
  fail(error: TypedError): void {
    this.finish({status: 'broken', error, isConnectionLost: false});
    this.handle?.abort();
  }

  /** Ends the attempt and closes its connection. */
  abort(): void {
    this.finish({status: 'aborted', isSent: this.handle?.isSent ?? false});
    this.handle?.abort();
  }

  onHead(head: AnswerHead, source: ResponseSource): void {
    if (this.isFinished) return;
    this.hasHead = true;
    const {dialect, consumer, onLoad, onStatus} = this.options;
    const facts = dialect.readHead(head);
    const framing = findFraming(head);
    onStatus(facts.status, source, framing);
    this.isSuccess = isSuccess(facts.status);
    this.isDelimited = framing !== 'close';
    if (facts.load) onLoad(facts.load);
    const isOfChosenServer = facts.isNotRun || facts.isGenuine;
    if (isOfChosenServer && !facts.isMisdirected) {
      this.options.onLimit(facts.limit);
      this.options.onTerms(toTerms(facts));
    }
    if (!facts.isMisdirected) this.options.onAvailability(facts.availability);
    if (facts.isNotRun) {
      this.finishAtHead({
        status: 'not-run',
        error: makeNotRunError(facts),
        reason: facts.isMisdirected ? 'not-held' : 'not-taken',
      });
      return;
    }
    if (facts.isEncoded || (this.isSuccess && !facts.isGenuine)) {
      this.finishAtHead({
        status: 'broken',
        error: makeAlteredError(facts),
        isConnectionLost: false,
      });
      return;
    }
    if (facts.readsAsNotRun) {
      // The server did not state that the request has not run, so it may have.
      this.finishAtHead({
        ...{status: 'broken', error: makeServerFailureError(facts)},
        isConnectionLost: false,
      });
      return;
    }
    if (consumer.onHead(facts) === 'discard') {
      this.finishAtHead({
        status: 'refusing',
        error: makeServerFailureError(facts),
      });
    }
  }

  onData(chunk: Uint8Array): boolean {
    if (this.isFinished) return this.drop(chunk);
    const result = this.options.consumer.onData(chunk);
    if (typeof result === 'boolean') return result;
    this.fail(result);
    return true;
  }

  private drop(chunk: Uint8Array): boolean {
    this.droppedBytes += chunk.length;
    if (this.droppedBytes > MAX_DROPPED_BYTES) this.handle?.abort();
    return true;
  }

  onEnd(): void {
    this.dropTimer?.cancel();
    if (this.isFinished) return;
    const error = this.options.consumer.onEnd();
    this.finish(
      error
        ? {status: 'broken', error, isConnectionLost: true}
        : {
            ...{status: 'answered', isSuccess: this.isSuccess},
            isDelimited: this.isDelimited,
          },
    );
  }

  onFailure(error: TypedError): void {
    this.dropTimer?.cancel();
    if (error.run === 'not-run' && !this.hasHead) {
      this.finish({status: 'not-run', error, reason: 'unreachable'});
    } else {
      this.finish({
        status: 'broken',
        error,
        isConnectionLost:
          !isMalformedResponse(error) &&
          !isForeignResponse(error) &&
          !isRelayLost(error),
      });
    }
  }

  /**
   * Keeps the connection unless the attempt is broken: a short unwanted
   * response is read to its end and dropped, see `AnswerReceiver`. One that does not
   * end soon would keep its connection for good.
   */
  private finishAtHead(outcome: AttemptOutcome): void {
    this.finish(outcome);
    if (outcome.status === 'broken') return this.handle?.abort();
    this.dropTimer = this.options.clock.setTimer(MAX_DROP_MS, () =>
      this.handle?.abort(),
    );
  }

  private finish(outcome: AttemptOutcome): void {
    if (this.isFinished) return;
    this.isFinished = true;
    this.resolve(outcome);
  }
}

function toTerms({brittlePerSecond, limit}: AnswerFacts): NamedTerms {
  return {brittlePerSecond, isLimited: typeof limit === 'number'};
}

function isSuccess(status: number): boolean {
  return status >= STATUS_OK_MIN && status <= STATUS_OK_MAX;
}

function findFraming({headers}: AnswerHead): ResponseFraming {
  const names = headers.filter((_, at) => at % 2 === 0);
  const framings = names.map(name => FRAMING_HEADERS.get(name.toLowerCase()));
  return framings.find(framing => framing !== undefined) ?? 'close';
}

function makeNotRunError(facts: AnswerFacts): TypedError {
  return new TypedError(
    'overloaded',
    `The backend server answered ${facts.status} and did not run the request.`,
    {run: 'not-run'},
  );
}

function makeServerFailureError(facts: AnswerFacts): TypedError {
  return new TypedError(
    'backend-failed',
    `The backend server answered ${facts.status}.`,
    {run: 'unknown'},
  );
}

function makeAlteredError({isEncoded}: AnswerFacts): TypedError {
  return new TypedError(
    'backend-failed',
    isEncoded
      ? 'The response has an encoding that the backend server does not use.'
      : 'The response lacks the signature of the backend server.',
    {run: 'unknown'},
  );
}
