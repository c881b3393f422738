/** Runs requests with caller-generated keys, after a claim in the log. */
import {
  type ClaimGrant,
  type ClaimKeys,
  type TimestampedKey,
} from '@mimosatack/claim-keys';
import {type Clock, sleep} from '@mimosatack/clock';
import {TypedError, toTypedError} from '@mimosatack/errors';
import {
  KEPT_GENERATIONS,
  type KeptAnswer,
  KeyTable,
  generationAt,
  makeOutcomeUnknownError,
} from '@mimosatack/unrepeatable';
import {
  readVerdict,
  requireVerdict,
  requireRunOutcome,
  toAnswer,
} from './unrepeatable_answers.js';
import {
  type Forward,
  type ForwardTarget,
  type KeyOwners,
} from './unrepeatable_forward.js';
import {
  type KeyedUnrepeatableRequest,
  START_MARGIN_MS,
  type StartRun,
  type UnrepeatableAnswer,
  type UnrepeatableRequest,
  beginRun,
  makeKeyedRequest,
} from './unrepeatable_request.js';

export interface ClaimRunnerOptions {
  clock: Clock;
  claims: ClaimKeys;
  owners: KeyOwners;
  forward: Forward;
}

/** How long to wait for the key's owner before claiming the key here. */
const OWNER_TIMEOUT_MS = 500;
const RETRY_AFTER_MS = 1_000;
const MAX_KEYS = 100_000;
const MAX_ANSWER_BYTES = 64 * 1024;
const MAX_KEPT_BYTES = 32 * 1024 * 1024;

/**
 * Claims each key, preferably at the node that owns its partition, and runs the
 * request when the claim is granted.
 */
export class ClaimRunner {
  /** Keys that this process runs or has run; the log has all others. */
  private readonly localKeys: KeyTable;

  constructor(private readonly options: ClaimRunnerOptions) {
    this.localKeys = new KeyTable({
      clock: options.clock,
      maxAnswerBytes: MAX_ANSWER_BYTES,
      maxKeptBytes: MAX_KEPT_BYTES,
      // The log records the outcome of a failed run.
      canRunAgainAfter: () => true,
    });
  }

  async run(
    {key, issuedAtMs}: TimestampedKey,
    request: UnrepeatableRequest,
    start: StartRun,
  ): Promise<UnrepeatableAnswer> {
    if (this.options.claims.isFromFuture(issuedAtMs)) throw makeClockError();
    this.evictOldKeys();
    const keyed = makeKeyedRequest(request, key, generationAt(issuedAtMs));
    const runHere = () => this.runHere(keyed, issuedAtMs, start);
    const owner = this.findOwner(keyed);
    return owner ? this.runAtOwner(owner, keyed, runHere) : runHere();
  }

  /** Null when this node has to claim the key itself. */
  private findOwner(keyed: KeyedUnrepeatableRequest): ForwardTarget | null {
    if (keyed.request.isForwarded || this.localKeys.has(keyed)) return null;
    const {claims, owners} = this.options;
    return owners.findPartitionOwner(claims.partitionOf(keyed.keyHash));
  }

  /**
   * Forwarding to the owner is an optimization. If the owner fails or does not
   * respond in time, this node claims the key as well, and the order of the two
   * claims in the log decides which node runs the request.
   */
  private async runAtOwner(
    owner: ForwardTarget,
    {request}: KeyedUnrepeatableRequest,
    runHere: () => Promise<UnrepeatableAnswer>,
  ): Promise<UnrepeatableAnswer> {
    const {clock, forward} = this.options;
    const ownerAnswer = forward(owner, request).then(requireVerdict);
    const settled = new AbortController();
    const settledAnswer = settle(ownerAnswer).finally(() => settled.abort());
    await sleep(clock, this.findOwnerTimeoutMs(request), settled.signal);
    const result = settled.signal.aborted ? await settledAnswer : null;
    if (result?.status === 'fulfilled') return result.value;
    if (result && toTypedError(result.reason).run === 'not-run') {
      return runHere();
    }
    return raceOwner(ownerAnswer, runHere());
  }

  private findOwnerTimeoutMs({expiresAtMs}: UnrepeatableRequest): number {
    const remainingMs = expiresAtMs - this.options.clock.monotonicMs();
    return Math.min(OWNER_TIMEOUT_MS, remainingMs / 2);
  }

  private async runHere(
    keyed: KeyedUnrepeatableRequest,
    issuedAtMs: number,
    start: StartRun,
  ): Promise<UnrepeatableAnswer> {
    let isFromLog = false;
    const {answer, isReplay} = await this.localKeys.runOnce(keyed, async () => {
      const result = await this.options.claims.claim(
        {...keyed, issuedAtMs},
        keyed.expiresAtMs - START_MARGIN_MS,
      );
      switch (result.status) {
        case 'granted':
          return this.runGranted(result.grant, keyed.request, start);
        case 'orphaned':
          throw makeOutcomeUnknownError(
            'The node that claimed the key was lost before it told the outcome.',
          );
        case 'released':
          throw makeReleasedError();
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
    const {claims, clock} = this.options;
    try {
      const answer = await beginRun(request, start, clock);
      claims.recordRan(grant, answer);
      return answer;
    } catch (thrown) {
      const error = toTypedError(thrown);
      if (error.run === 'not-run') claims.release(grant);
      else if (error.run === 'ran') claims.recordRan(grant, null);
      else claims.recordUnknown(grant);
      throw error;
    }
  }

  private evictOldKeys(): void {
    const now = generationAt(this.options.clock.wallMs());
    this.localKeys.dropBefore(now - KEPT_GENERATIONS);
    if (this.localKeys.size < MAX_KEYS) return;
    this.localKeys.dropBefore((this.localKeys.oldestGeneration ?? 0) + 1);
  }
}

/**
 * The owner may still run the request, so a `not-run` from either node is not
 * final: the owner's answer counts only if the request ran, and this node
 * reports `unknown` instead of `not-run`.
 */
function raceOwner(
  ownerAnswer: Promise<UnrepeatableAnswer>,
  runningHere: Promise<UnrepeatableAnswer>,
): Promise<UnrepeatableAnswer> {
  const here = runningHere.catch((thrown: unknown) => {
    const error = toTypedError(thrown);
    throw error.run === 'not-run' ? error.withRun('unknown') : error;
  });
  return Promise.any([ownerAnswer.then(requireRunOutcome), here]).catch(
    () => here,
  );
}

async function settle<T>(
  promise: Promise<T>,
): Promise<PromiseSettledResult<T>> {
  const [result] = await Promise.allSettled([promise]);
  return result;
}

function makeReleasedError(): TypedError {
  return new TypedError(
    'backend-unreachable',
    'Another request with the key came first and could not be handed over.',
    {run: 'not-run', retryAfterMs: RETRY_AFTER_MS},
  );
}

/** A node whose clock is ahead may have run the request. */
function makeClockError(): TypedError {
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
