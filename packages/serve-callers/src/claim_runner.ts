/** Runs requests with a key of the caller's own, once it is claimed. */
import {
  type ClaimGrant,
  type ClaimKeys,
  type DatedKey,
} from '@mimosatack/claim-keys';
import {type Clock, sleep} from '@mimosatack/clock';
import {TypedError, toTypedError} from '@mimosatack/errors';
import {
  KEPT_GENERATIONS,
  type KeptAnswer,
  KeyTable,
  generationAt,
  makeOutcomeUnknown,
} from '@mimosatack/unrepeatable';
import {
  readVerdict,
  refuseIfNoVerdict,
  refuseUnlessRan,
  toAnswer,
} from './unrepeatable_answers.js';
import {
  type Forward,
  type ForwardTarget,
  type KeyOwners,
} from './unrepeatable_forward.js';
import {
  type KeyedUnrepeatable,
  START_MARGIN_MS,
  type StartRun,
  type UnrepeatableAnswer,
  type UnrepeatableRequest,
  beginRun,
  keyRequest,
} from './unrepeatable_request.js';

/** What the runner is built from. */
export interface ClaimRunnerOptions {
  clock: Clock;
  claims: ClaimKeys;
  owners: KeyOwners;
  forward: Forward;
}

/** How long a silent keeper is trusted to be at work. */
const KEEPER_PATIENCE_MS = 500;
const RETRY_AFTER_MS = 1_000;
const MAX_KEYS = 100_000;
const MAX_ANSWER_BYTES = 64 * 1024;
const MAX_KEPT_BYTES = 32 * 1024 * 1024;

/** Claims keys, here or at their keeper, and runs what is granted. */
export class ClaimRunner {
  /** Keys that this process runs or has run; the log knows all others. */
  private readonly known: KeyTable;

  constructor(private readonly options: ClaimRunnerOptions) {
    this.known = new KeyTable({
      clock: options.clock,
      maxAnswerBytes: MAX_ANSWER_BYTES,
      maxKeptBytes: MAX_KEPT_BYTES,
      // What became of a failed run stands in the log.
      isFreeAfter: () => true,
    });
  }

  async run(
    {key, issuedAtMs}: DatedKey,
    request: UnrepeatableRequest,
    start: StartRun,
  ): Promise<UnrepeatableAnswer> {
    if (this.options.claims.isDatedAhead(issuedAtMs)) throw makeDatedAhead();
    this.forgetOld();
    const keyed = keyRequest(request, key, generationAt(issuedAtMs));
    const runHere = () => this.runHere(keyed, issuedAtMs, start);
    const keeper = this.findKeeper(keyed);
    return keeper ? this.runAtKeeper(keeper, keyed, runHere) : runHere();
  }

  /** Null when the key is this node's to keep, or known here already. */
  private findKeeper(keyed: KeyedUnrepeatable): ForwardTarget | null {
    if (keyed.request.isForwarded || this.known.has(keyed)) return null;
    const {claims, owners} = this.options;
    return owners.findKeeper(claims.partitionOf(keyed.keyHash));
  }

  /**
   * The keeper is only the shorter way. If it fails, has no log, or is silent
   * for a while, as when it is frozen, this node claims the key as well; the
   * order of the two claims in the log decides which of them runs it.
   */
  private async runAtKeeper(
    keeper: ForwardTarget,
    {request}: KeyedUnrepeatable,
    runHere: () => Promise<UnrepeatableAnswer>,
  ): Promise<UnrepeatableAnswer> {
    const {clock, forward} = this.options;
    const asked = forward(keeper, request).then(refuseIfNoVerdict);
    const settled = new AbortController();
    const early = settle(asked).finally(() => settled.abort());
    await sleep(clock, this.findPatienceMs(request), settled.signal);
    const result = settled.signal.aborted ? await early : null;
    if (result?.status === 'fulfilled') return result.value;
    if (result && toTypedError(result.reason).run === 'not-run') {
      return runHere();
    }
    return raceKeeper(asked, runHere());
  }

  private findPatienceMs({expiresAtMs}: UnrepeatableRequest): number {
    const remainingMs = expiresAtMs - this.options.clock.monotonicMs();
    return Math.min(KEEPER_PATIENCE_MS, remainingMs / 2);
  }

  private async runHere(
    keyed: KeyedUnrepeatable,
    issuedAtMs: number,
    start: StartRun,
  ): Promise<UnrepeatableAnswer> {
    let isFromLog = false;
    const {answer, isReplay} = await this.known.runOnce(keyed, async () => {
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
        case 'released':
          throw makeReleased();
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

  private forgetOld(): void {
    const now = generationAt(this.options.clock.wallMs());
    this.known.dropBefore(now - KEPT_GENERATIONS);
    if (this.known.size < MAX_KEYS) return;
    this.known.dropBefore((this.known.oldestGeneration ?? 0) + 1);
  }
}

/**
 * The keeper may still be at work, so a `not-run` of either may come untrue by
 * the other: only an answer counts, or what this node knows for certain.
 */
function raceKeeper(
  asked: Promise<UnrepeatableAnswer>,
  runningHere: Promise<UnrepeatableAnswer>,
): Promise<UnrepeatableAnswer> {
  const here = runningHere.catch((thrown: unknown) => {
    const error = toTypedError(thrown);
    throw error.run === 'not-run' ? error.withRun('unknown') : error;
  });
  return Promise.any([asked.then(refuseUnlessRan), here]).catch(() => here);
}

async function settle<T>(
  promise: Promise<T>,
): Promise<PromiseSettledResult<T>> {
  const [result] = await Promise.allSettled([promise]);
  return result;
}

function makeReleased(): TypedError {
  return new TypedError(
    'backend-unreachable',
    'Another request with the key came first and could not be handed over.',
    {run: 'not-run', retryAfterMs: RETRY_AFTER_MS},
  );
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
