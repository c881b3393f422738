/** One attempt: a request sent to one backend server, and its answer. */
import {
  type AnswerHead,
  type AnswerReceiver,
  type BackendConnections,
  type CallHandle,
} from '@mimosatack/backend-connections';
import {type Clock} from '@mimosatack/clock';
import {TypedError} from '@mimosatack/errors';
import {
  type AnswerFacts,
  type BackendDialect,
  type SendTerms,
  type ServerLoad,
} from './backend_dialect.js';
import {type CallerRequest} from './caller_request.js';
import {type AttemptResult} from './server_chooser.js';

/** Why a server has not run a request. */
export type NotRunReason = 'unreachable' | 'not-held' | 'not-taken';

/** How an attempt ended. */
export type AttemptOutcome =
  /** The answer is whole and was handed over. */
  | {status: 'answered'; isSuccess: boolean}
  /** The server has not run the request and won't. */
  | {status: 'not-run'; error: TypedError; reason: NotRunReason}
  /** The server answered with a failure that was not handed over. */
  | {status: 'refusing'; error: TypedError}
  /**
   * The request may have run; what was handed over so far stays. `isCut`: the
   * connection ended before the answer, as it does when the server ends.
   */
  | {status: 'broken'; error: TypedError; isCut: boolean}
  /** Ended from this side. */
  | {status: 'aborted'};

/** What an outcome tells of the server. */
export function toAttemptResult(outcome: AttemptOutcome): AttemptResult {
  switch (outcome.status) {
    case 'answered':
      return 'answered';
    case 'not-run':
      return outcome.reason;
    case 'aborted':
      return 'neutral';
    default:
      return 'failed';
  }
}

/** Takes the answer of an attempt as it comes. */
export interface AnswerConsumer {
  /** Whether the answer is wanted; a failure may be sent elsewhere instead. */
  onHead(facts: AnswerFacts): 'take' | 'discard';
  /** False pauses the answer until `Attempt.resume`. */
  onData(piece: Uint8Array): boolean;
  /** The framing says that the answer is whole; an error says that it isn't. */
  onEnd(): TypedError | null;
}

/** What an attempt is made from. */
export interface AttemptOptions {
  connections: BackendConnections;
  dialect: BackendDialect;
  clock: Clock;
  request: CallerRequest;
  terms: SendTerms;
  consumer: AnswerConsumer;
  connectTimeoutMs: number;
  maxIdleMs: number;
  onLoad: (load: ServerLoad) => void;
  onStatus: (status: number) => void;
}

const STATUS_OK_MIN = 200;
const STATUS_OK_MAX = 299;

/** Sends a request once. */
export class Attempt implements AnswerReceiver {
  readonly outcome: Promise<AttemptOutcome>;
  /** Whether the head of an answer came from the server. */
  hasHead = false;
  private resolve!: (outcome: AttemptOutcome) => void;
  private handle: CallHandle | null = null;
  private isOver = false;
  private isSuccess = false;

  constructor(private readonly options: AttemptOptions) {
    this.outcome = new Promise(resolve => (this.resolve = resolve));
  }

  start(): void {
    const {connections, dialect, request, terms} = this.options;
    const handle = connections.send(
      {
        address: terms.server.address,
        method: request.method,
        path: request.path,
        headers: dialect.makeHeaders(request, terms),
        body: request.body.length > 0 ? request.body : null,
        maxIdleMs: this.options.maxIdleMs,
        connectTimeoutMs: this.options.connectTimeoutMs,
      },
      this,
    );
    this.handle = handle;
    if (this.isOver) handle.abort();
  }

  /** Reads on after the consumer has paused the answer. */
  resume(): void {
    this.handle?.resume();
  }

  /** Ends the attempt as one that failed, so that another can go on. */
  giveUpOn(error: TypedError): void {
    this.finish({status: 'broken', error, isCut: false});
    this.handle?.abort();
  }

  /** Ends the attempt; the server sees its connection close. */
  abort(): void {
    this.finish({status: 'aborted'});
    this.handle?.abort();
  }

  onHead(head: AnswerHead): void {
    if (this.isOver) return;
    this.hasHead = true;
    const {dialect, request, consumer, onLoad, onStatus} = this.options;
    const facts = dialect.readHead(head, request);
    onStatus(facts.status);
    this.isSuccess = isSuccess(facts.status);
    if (facts.load) onLoad(facts.load);
    if (facts.isNotRun) {
      this.giveUp({
        status: 'not-run',
        error: makeNotRun(facts),
        reason: facts.isMisdirected ? 'not-held' : 'not-taken',
      });
      return;
    }
    if (this.isSuccess && !facts.isGenuine) {
      this.giveUp({status: 'broken', error: makeForeignAnswer(), isCut: false});
      return;
    }
    if (consumer.onHead(facts) === 'discard') {
      this.giveUp({status: 'refusing', error: makeRefusing(facts)});
    }
  }

  onData(piece: Uint8Array): boolean {
    if (this.isOver) return true;
    return this.options.consumer.onData(piece);
  }

  onEnd(): void {
    if (this.isOver) return;
    const error = this.options.consumer.onEnd();
    this.finish(
      error
        ? {status: 'broken', error, isCut: true}
        : {status: 'answered', isSuccess: this.isSuccess},
    );
  }

  onFailure(error: TypedError): void {
    if (error.run === 'not-run' && !this.hasHead) {
      this.finish({status: 'not-run', error, reason: 'unreachable'});
    } else {
      this.finish({status: 'broken', error, isCut: !isGarbled(error)});
    }
  }

  /**
   * A short answer that is not wanted is read to its end, which keeps the
   * connection; see `AnswerReceiver`. Its bytes are dropped.
   */
  private giveUp(outcome: AttemptOutcome): void {
    this.finish(outcome);
    if (outcome.status === 'broken') this.handle?.abort();
  }

  private finish(outcome: AttemptOutcome): void {
    if (this.isOver) return;
    this.isOver = true;
    this.resolve(outcome);
  }
}

function isSuccess(status: number): boolean {
  return status >= STATUS_OK_MIN && status <= STATUS_OK_MAX;
}

/** Bytes that are no answer come from a server that lives. */
function isGarbled({details}: TypedError): boolean {
  return details.cause?.name === 'HTTPParserError';
}

function makeNotRun(facts: AnswerFacts): TypedError {
  return new TypedError(
    'overloaded',
    `The backend server answered ${facts.status} and did not run the request.`,
    {run: 'not-run'},
  );
}

function makeRefusing(facts: AnswerFacts): TypedError {
  return new TypedError(
    'backend-failed',
    `The backend server answered ${facts.status}.`,
    {run: 'unknown'},
  );
}

function makeForeignAnswer(): TypedError {
  return new TypedError(
    'backend-failed',
    'An answer came that is not to this request.',
    {run: 'unknown'},
  );
}
