/**
 * Runs requests at most once each, by their keys: tickets in the process that
 * gave them out, keys of the caller's own after a claim in the log.
 */
import {
  type ClaimGrant,
  type ClaimKeys,
  readDatedKey,
} from '@mimosatack/claim-keys';
import {type Clock, type Timer} from '@mimosatack/clock';
import {type WholeAnswer} from '@mimosatack/dispatch-requests';
import {TypedError, toTypedError} from '@mimosatack/errors';
import {
  type InheritedVerdict,
  KEPT_GENERATIONS,
  type KeptAnswer,
  type KeyedAnswer,
  type KeyedRequest,
  KeyTable,
  type Ticket,
  type TicketMint,
  type TicketTable,
  generationAt,
  hashKey,
  hashRequest,
  makeAnswerNotKept,
  makeBadKey,
  makeKeyReused,
  makeOutcomeUnknown,
} from '@mimosatack/unrepeatable';
import {
  type ForwardTarget,
  type KeyOwners,
  forwardToNode,
} from './unrepeatable_forward.js';

/** What the runner is built from. */
export interface UnrepeatableRunnerOptions {
  clock: Clock;
  nodeName: string;
  incarnation: string;
  mint: TicketMint;
  tickets: TicketTable;
  claims: ClaimKeys;
  owners: KeyOwners;
}

/** A request that must run at most once. */
export interface UnrepeatableRequest {
  team: string;
  idempotencyKey: string | null;
  path: string;
  body: Uint8Array;
  /** When the caller's deadline is, on the monotonic clock. */
  expiresAtMs: number;
  /** Headers that another node needs, the authorization among them. */
  headers: Readonly<Record<string, string>>;
  /** Whether another node has passed it on to this one. */
  isForwarded: boolean;
}

/** What a run must heed. */
export interface DispatchTerms {
  /** On the monotonic clock; nothing is handed over after it. */
  startBeforeMs: number;
  /** Ends the wait for an answer; later than the caller's deadline. */
  signal: AbortSignal;
}

/** The answer, perhaps of an earlier request or by another node. */
export interface UnrepeatableAnswer extends KeyedAnswer {
  headers: Readonly<Record<string, string>>;
}

/** Hands the request over and gives the answer; errors must carry `run`. */
export type StartRun = (terms: DispatchTerms) => Promise<KeptAnswer>;

/** A request whose key was read. */
interface KeyedUnrepeatable extends KeyedRequest {
  request: UnrepeatableRequest;
}

/**
 * An answer is awaited this much longer than its caller does, so that a
 * repeat of the request learns the outcome.
 */
const OUTCOME_GRACE_MS = 30_000;
/** Nothing is handed over that close to the deadline. */
const START_MARGIN_MS = 20;
/** What the way back from another node may take. */
const FORWARD_MARGIN_MS = 30;
const MAX_CLAIMED_KEYS = 100_000;
const MAX_ANSWER_BYTES = 64 * 1024;
const MAX_KEPT_BYTES = 32 * 1024 * 1024;
const REPLAY_HEADER = 'idempotent-replayed';
const RELAYED_HEADERS = ['retry-after', REPLAY_HEADER];

/** Decides which node runs a request, and whether it may run. */
export class UnrepeatableRunner {
  /** Keys of the callers' own that this process runs or has run. */
  private readonly claimed: KeyTable;

  constructor(private readonly options: UnrepeatableRunnerOptions) {
    this.claimed = new KeyTable({
      clock: options.clock,
      maxAnswerBytes: MAX_ANSWER_BYTES,
      maxKeptBytes: MAX_KEPT_BYTES,
      // What is known of a failed run stands in the log.
      isFreeAfter: () => true,
    });
  }

  /** Calls `start` at most once for a key, on one node of the system. */
  async run(
    request: UnrepeatableRequest,
    start: StartRun,
  ): Promise<UnrepeatableAnswer> {
    const {idempotencyKey} = request;
    if (idempotencyKey === null) {
      throw makeBadKey('This request runs at most once and needs a key.');
    }
    const reading = this.options.mint.read(idempotencyKey);
    switch (reading.status) {
      case 'ticket':
        return this.runTicket(reading.ticket, request, start);
      case 'forged':
        throw makeBadKey('The key has a prefix that no node has given out.');
      case 'not-a-ticket':
        return this.runDated(idempotencyKey, request, start);
    }
  }

  private async runTicket(
    ticket: Ticket,
    request: UnrepeatableRequest,
    start: StartRun,
  ): Promise<UnrepeatableAnswer> {
    const keyed = this.readRequest(
      request,
      request.idempotencyKey ?? '',
      ticket.generation,
    );
    if (ticket.incarnation !== this.options.incarnation) {
      return this.runElsewhere(ticket, keyed);
    }
    const answer = await this.options.tickets.runOnce(keyed, () =>
      this.begin(request, start),
    );
    return toAnswer(answer);
  }

  /**
   * Never says `not-run` by itself: the process that the ticket belongs to may
   * have run it for an earlier request that this node knows nothing of.
   */
  private async runElsewhere(
    {incarnation}: Ticket,
    keyed: KeyedUnrepeatable,
  ): Promise<UnrepeatableAnswer> {
    const {owners} = this.options;
    const target = owners.findProcess(incarnation);
    if (keyed.request.isForwarded) {
      throw makeOutcomeUnknown('The key belongs to a process that is gone.');
    }
    if (!target) return this.askHeirs(incarnation, keyed);
    try {
      return await this.forward(target, keyed.request);
    } catch (thrown) {
      const error = toTypedError(thrown);
      if (error.run === 'not-run') return this.askHeirs(incarnation, keyed);
      throw makeOutcomeUnknown('The node that keeps the key was lost.', error);
    }
  }

  private async askHeirs(
    incarnation: string,
    keyed: KeyedUnrepeatable,
  ): Promise<UnrepeatableAnswer> {
    const verdict = await this.options.owners.askHeirs({
      incarnation,
      ...keyed,
    });
    return toAnswer({answer: readVerdict(verdict), isReplay: true});
  }

  private async runDated(
    text: string,
    request: UnrepeatableRequest,
    start: StartRun,
  ): Promise<UnrepeatableAnswer> {
    const {claims, clock} = this.options;
    const dated = readDatedKey(text);
    if (!dated) throw makeBadKey('The key does not carry its date.');
    if (claims.isDatedAhead(dated.issuedAtMs)) throw makeDatedAhead();
    this.claimed.dropBefore(generationAt(clock.wallMs()) - KEPT_GENERATIONS);
    const generation = generationAt(dated.issuedAtMs);
    const keyed = this.readRequest(request, dated.key, generation);
    const relayed = this.claimed.has(keyed)
      ? null
      : await this.tryKeeper(keyed);
    return relayed ?? this.runClaimed(keyed, dated.issuedAtMs, start);
  }

  /**
   * Null when the request is for this node. The keeper's answer is only a
   * shorter way: if it fails, this node looks into the log itself, where the
   * keeper's claim, if there was one, comes first.
   */
  private async tryKeeper(
    keyed: KeyedUnrepeatable,
  ): Promise<UnrepeatableAnswer | null> {
    if (keyed.request.isForwarded) return null;
    const {claims, owners} = this.options;
    const keeper = owners.findKeeper(claims.partitionOf(keyed.keyHash));
    if (!keeper) return null;
    try {
      return await this.forward(keeper, keyed.request);
    } catch {
      return null;
    }
  }

  private async runClaimed(
    keyed: KeyedUnrepeatable,
    issuedAtMs: number,
    start: StartRun,
  ): Promise<UnrepeatableAnswer> {
    if (this.claimed.size >= MAX_CLAIMED_KEYS) {
      this.claimed.dropBefore((this.claimed.oldestGeneration ?? 0) + 1);
    }
    let isFromLog = false;
    const {answer, isReplay} = await this.claimed.runOnce(keyed, async () => {
      const result = await this.options.claims.claim(
        {...keyed, issuedAtMs},
        keyed.expiresAtMs - START_MARGIN_MS,
      );
      switch (result.status) {
        case 'granted':
          return this.runGranted(result.grant, keyed.request, start);
        case 'orphaned':
          throw makeOutcomeUnknown(
            'The node that claimed the key was lost before it told the outcome.',
          );
        default:
          isFromLog = true;
          return readVerdict(result);
      }
    });
    return toAnswer({answer, isReplay: isReplay || isFromLog});
  }

  private async runGranted(
    grant: ClaimGrant,
    request: UnrepeatableRequest,
    start: StartRun,
  ): Promise<KeptAnswer> {
    const {claims} = this.options;
    try {
      const answer = await this.begin(request, start);
      claims.noteRan(grant, answer);
      return answer;
    } catch (thrown) {
      const error = toTypedError(thrown);
      if (error.run === 'not-run') claims.release(grant);
      else if (error.run === 'ran') claims.noteRan(grant, null);
      else claims.noteUnknown(grant);
      throw error;
    }
  }

  private async begin(
    {expiresAtMs}: UnrepeatableRequest,
    start: StartRun,
  ): Promise<KeptAnswer> {
    const abandon = this.abortAt(expiresAtMs + OUTCOME_GRACE_MS);
    try {
      return await start({
        startBeforeMs: expiresAtMs - START_MARGIN_MS,
        signal: abandon.signal,
      });
    } catch (thrown) {
      const error = toTypedError(thrown);
      throw error.run === undefined ? error.withRun('unknown') : error;
    } finally {
      abandon.timer.cancel();
    }
  }

  private async forward(
    target: ForwardTarget,
    request: UnrepeatableRequest,
  ): Promise<UnrepeatableAnswer> {
    const {clock, nodeName} = this.options;
    const remainingMs = request.expiresAtMs - clock.monotonicMs();
    const deadline = this.abortAt(request.expiresAtMs);
    try {
      const answer = await forwardToNode(
        target,
        {
          path: request.path,
          body: request.body,
          headers: {
            ...request.headers,
            'idempotency-key': request.idempotencyKey ?? '',
          },
          timeoutMs: Math.max(1, remainingMs - FORWARD_MARGIN_MS),
          signal: deadline.signal,
        },
        nodeName,
      );
      return relay(answer);
    } finally {
      deadline.timer.cancel();
    }
  }

  private abortAt(atMs: number): {signal: AbortSignal; timer: Timer} {
    const {clock} = this.options;
    const controller = new AbortController();
    const timer = clock.setTimer(atMs - clock.monotonicMs(), () =>
      controller.abort(),
    );
    return {signal: controller.signal, timer};
  }

  private readRequest(
    request: UnrepeatableRequest,
    key: string,
    generation: number,
  ): KeyedUnrepeatable {
    return {
      request,
      keyHash: hashKey(request.team, key),
      requestHash: hashRequest(request.path, request.body),
      generation,
      expiresAtMs: request.expiresAtMs,
    };
  }
}

/** The answer that a known key gets, or its refusal. */
function readVerdict(verdict: InheritedVerdict): KeptAnswer {
  switch (verdict.status) {
    case 'ran':
      if (verdict.answer === null) throw makeAnswerNotKept();
      return verdict.answer;
    case 'key-reused':
      throw makeKeyReused();
    case 'never-run':
      throw new TypedError(
        'shutting-down',
        'The node that the key belonged to stopped before it ran the key.',
        {
          run: 'not-run',
          remedy: 'Send it with a new key, under a keyPrefix of /v1/entries.',
        },
      );
    case 'no-table':
      throw makeOutcomeUnknown('The key belongs to a process that is gone.');
    case 'unknown':
      throw makeOutcomeUnknown('The outcome of this key is not known.');
  }
}

/** Another node, whose clock is ahead, may have run the key. */
function makeDatedAhead(): TypedError {
  return new TypedError(
    'bad-key',
    "The date in the key is ahead of this node's clock.",
    {
      run: 'unknown',
      remedy:
        'This attempt sent nothing. Correct the clock that the key was made ' +
        'by, or use a key under the keyPrefix of /v1/entries.',
    },
  );
}

function toAnswer({answer, isReplay}: KeyedAnswer): UnrepeatableAnswer {
  return {
    answer,
    isReplay,
    headers: isReplay ? {[REPLAY_HEADER]: 'true'} : {},
  };
}

function relay({headers, ...answer}: WholeAnswer): UnrepeatableAnswer {
  const kept = RELAYED_HEADERS.flatMap(name => {
    const value = headers[name];
    return typeof value === 'string' ? [[name, value] as const] : [];
  });
  return {
    answer,
    isReplay: headers[REPLAY_HEADER] === 'true',
    headers: Object.fromEntries(kept),
  };
}
