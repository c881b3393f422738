/** Which requests are kept from servers, by all that this node knows. */
import {type Clock} from '@mimosatack/clock';
import {type EventLogger} from '@mimosatack/logger';
import {type RequestFingerprint} from '@mimosatack/types';
import {
  type CrashFact,
  CrashEvidence,
  type ServerLife,
} from './crash_evidence.js';

/** What it is built from. */
export interface RequestContainmentOptions {
  clock: Clock;
  logger: EventLogger;
}

/**
 * Servers that may end under a request before it is contained.
 *
 * What only stood beside a bad request is rarely at three ends, since it is
 * served first. It is not told apart by the ends that other requests explain:
 * where several bad ones come at once, that blames innocents for their ends.
 */
const CRASHES_TO_CONTAIN = 3;
/**
 * For how long after the last end of a server. The cuts are remembered longer,
 * so that one more end contains the request again.
 */
const CONTAINED_MS = 3_600_000;

/** Takes what this node and others have seen, and answers for one request. */
export class RequestContainment {
  readonly evidence: CrashEvidence;
  /** Until when each is contained. */
  private untilMs: ReadonlyMap<RequestFingerprint, number> = new Map();

  constructor(private readonly options: RequestContainmentOptions) {
    this.evidence = new CrashEvidence(options.clock, CRASHES_TO_CONTAIN);
  }

  /** Whether any request is suspected: without, none needs to be looked at. */
  get isWatching(): boolean {
    return !this.evidence.isEmpty;
  }

  /** Those that are contained now, the one that was cut most lately last. */
  get contained(): RequestFingerprint[] {
    return [...this.evidence.byRequest.keys()].filter(fingerprint =>
      this.isContained(fingerprint),
    );
  }

  isContained(fingerprint: RequestFingerprint): boolean {
    const untilMs = this.untilMs.get(fingerprint);
    return untilMs !== undefined && this.nowMs() < untilMs;
  }

  /** The server's connection was cut while it had the request. */
  noteCut(fingerprint: RequestFingerprint, serverLife: ServerLife): void {
    this.take([{kind: 'cut', fingerprint, serverLife, atMs: this.nowMs()}]);
  }

  /** A server has answered the request whole. */
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
    const {byRequest} = this.evidence;
    const before = this.untilMs;
    this.untilMs = new Map(
      [...byRequest]
        .filter(([, lives]) => lives.size >= CRASHES_TO_CONTAIN)
        .map(([fingerprint, lives]) => [
          fingerprint,
          Math.max(...lives.values()) + CONTAINED_MS,
        ]),
    );
    this.logChange(before, this.untilMs);
  }

  private logChange(
    before: ReadonlyMap<RequestFingerprint, number>,
    after: ReadonlyMap<RequestFingerprint, number>,
  ): void {
    const {logger} = this.options;
    const {byRequest} = this.evidence;
    [...after.keys()]
      .filter(fingerprint => !before.has(fingerprint))
      .forEach(fingerprint =>
        logger.log('request-contained', {
          fingerprint,
          serverLives: [...(byRequest.get(fingerprint)?.keys() ?? [])],
          forMs: CONTAINED_MS,
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
