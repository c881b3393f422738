/** Which requests are kept from servers, by all that this node knows. */
import {type Clock} from '@mimosatack/clock';
import {type EventLogger} from '@mimosatack/logger';
import {
  type PathPrint,
  type RequestFingerprint,
  toPathPrint,
} from '@mimosatack/types';
import {
  type CrashFact,
  CrashEvidence,
  type CutsByLife,
  type ServerLife,
  findNewestMs,
} from './crash_evidence.js';

/** What it is built from. */
export interface RequestContainmentOptions {
  clock: Clock;
  logger: EventLogger;
  /** Whether this node tries contained requests for all nodes. */
  isTrier: () => boolean;
}

/**
 * Servers that may end under a request before it is contained.
 *
 * What only stood beside a bad request is rarely at three ends, since it is
 * served first. It is not told apart by the ends that other requests explain:
 * where several bad ones come at once, that blames innocents for their ends.
 */
const CRASHES_TO_CONTAIN = 3;
/** From the last end of a server until a contained request is tried. */
const FIRST_TRY_MS = 30_000;
/** The wait for the next try grows by this with each server that a try ends. */
const TRY_GROWTH = 8;

/** Takes what this node and others have seen, and answers for one request. */
export class RequestContainment {
  readonly evidence: CrashEvidence;
  /** Those that are contained, each with the time of its next try. */
  private tryAtMs: ReadonlyMap<RequestFingerprint, number> = new Map();
  /** The paths of all that are suspected. */
  private paths: ReadonlySet<PathPrint> = new Set();
  /** Those that are being tried. */
  private readonly tried = new Set<RequestFingerprint>();

  constructor(private readonly options: RequestContainmentOptions) {
    this.evidence = new CrashEvidence(options.clock, CRASHES_TO_CONTAIN);
  }

  /** Whether any request is suspected: without, none needs to be looked at. */
  get isWatching(): boolean {
    return !this.evidence.isEmpty;
  }

  isPathWatched(pathPrint: PathPrint): boolean {
    return this.paths.has(pathPrint);
  }

  /** Those that are contained, the one that was cut most lately last. */
  get contained(): RequestFingerprint[] {
    return [...this.evidence.byRequest.keys()].filter(fingerprint =>
      this.isContained(fingerprint),
    );
  }

  isContained(fingerprint: RequestFingerprint): boolean {
    return this.tryAtMs.has(fingerprint);
  }

  /**
   * Whether a contained request may go to one server now; to be given back by
   * `endTry`.
   *
   * Guards against a request that is contained for good though it crashes nothing:
   * many callers send the same one, and three servers that had it were lost at
   * once for another reason. One node alone tries, one request at a time, and
   * ever more rarely, so that one that does crash servers gets few of them.
   */
  claimTry(fingerprint: RequestFingerprint): boolean {
    const atMs = this.tryAtMs.get(fingerprint) ?? Infinity;
    const isDue = this.nowMs() >= atMs && this.options.isTrier();
    if (!isDue || this.tried.has(fingerprint)) return false;
    this.tried.add(fingerprint);
    return true;
  }

  endTry(fingerprint: RequestFingerprint): void {
    this.tried.delete(fingerprint);
  }

  /** The server's connection was cut while it had the request. */
  noteCut(fingerprint: RequestFingerprint, serverLife: ServerLife): void {
    const atMs = this.nowMs();
    const isTry = this.tried.has(fingerprint);
    this.take([{kind: 'cut', fingerprint, serverLife, atMs, isTry}]);
  }

  /** A server has answered the request whole, with a success. */
  noteServed(fingerprint: RequestFingerprint): void {
    if (!this.evidence.byRequest.has(fingerprint)) return;
    this.take([{kind: 'served', fingerprint, atMs: this.nowMs()}]);
  }

  /** Takes facts, of this node or of others. */
  take(facts: readonly CrashFact[]): void {
    const isChanged = facts.map(fact => this.evidence.add(fact)).some(Boolean);
    if (isChanged) this.decide();
  }

  private decide(): void {
    this.evidence.expire();
    this.paths = new Set([...this.evidence.byRequest.keys()].map(toPathPrint));
    const before = this.tryAtMs;
    this.tryAtMs = new Map(
      [...this.evidence.byRequest]
        .filter(([, cuts]) => cuts.size >= CRASHES_TO_CONTAIN)
        .map(([fingerprint, cuts]) => [fingerprint, findTryMs(cuts)]),
    );
    this.logChange(before, this.tryAtMs);
  }

  private logChange(
    before: ReadonlyMap<RequestFingerprint, number>,
    after: ReadonlyMap<RequestFingerprint, number>,
  ): void {
    const {logger} = this.options;
    const {byRequest} = this.evidence;
    [...after]
      .filter(([fingerprint, atMs]) => before.get(fingerprint) !== atMs)
      .forEach(([fingerprint, atMs]) =>
        logger.log('request-contained', {
          fingerprint,
          serverLives: [...(byRequest.get(fingerprint)?.keys() ?? [])],
          tryInMs: Math.round(atMs - this.nowMs()),
        }),
      );
    [...before.keys()]
      .filter(fingerprint => !after.has(fingerprint))
      .forEach(fingerprint =>
        logger.log('request-released', {
          fingerprint,
          cuts: byRequest.get(fingerprint)?.size ?? 0,
        }),
      );
  }

  private nowMs(): number {
    return this.options.clock.monotonicMs();
  }
}

function findTryMs(cuts: CutsByLife): number {
  const failedTries = [...cuts.values()].filter(({isTry}) => isTry).length;
  return findNewestMs(cuts) + FIRST_TRY_MS * TRY_GROWTH ** failedTries;
}
