/** Paces how much an engine is given to read. */

/** The pause between events that the figures below were found for. */
const USUAL_GAP_MS = 300;
/**
 * Reading that may be given at once. A stream's next event waits for what is
 * read meanwhile: with an event every 30 ms, this much and the share below,
 * the longest pause is (30 + 40) / (1 - 0.6) = 175 ms; a usual prompt on top of
 * it stays below the 300 ms after which a stream counts as late. With 85 in
 * place of 40, 345 in place of 158 requests of four calm plays of the
 * scheduling bench are late; with 60, 215.
 */
const AT_ONCE_MS = 40;
/** Share of its time that an engine may be given prompts to read for. */
const READING_SHARE = 0.6;
/**
 * Bounds of that share: above the upper one the longest pause grows faster than
 * the pause that is borne, below the lower one prompts wait for nothing.
 */
const MAX_READING_SHARE = 0.8;
const MIN_READING_SHARE = 0.3;

/** How much may be read beside streams that bear a certain pause. */
export interface PacingLimits {
  atOnceMs: number;
  readingShare: number;
}

/**
 * A stream that bears twice the pause bears twice the reading at once, and
 * needs half the time left for its own steps. Paced for the shortest pause of
 * all, requests would miss their latency objective for the sake of pauses that
 * nobody minds.
 *
 * @param gapMs the longest pause with which a stream is on time; null for
 *     requests whose answers have no events.
 */
export function findPacingLimits(gapMs: number | null): PacingLimits {
  const factor = (gapMs ?? USUAL_GAP_MS) / USUAL_GAP_MS;
  return {
    atOnceMs: AT_ONCE_MS * factor,
    readingShare: Math.min(
      MAX_READING_SHARE,
      Math.max(MIN_READING_SHARE, 1 - (1 - READING_SHARE) / factor),
    ),
  };
}

/**
 * Guards against streams that pause while an engine reads prompts: when a model
 * has just been loaded, all requests that waited for it would be sent at once,
 * and every stream on that engine would stand still until all their prompts
 * are read. Given in portions, the first ones lose nothing and the last ones
 * some hundred milliseconds.
 */
export class PromptPacing {
  /** Reading that was given and is not made up for yet. */
  private pendingMs = 0;
  private atMs = 0;
  private readingShare = READING_SHARE;

  /** Whether the engine may be given the prompt now. */
  hasRoom(readingMs: number, {atOnceMs}: PacingLimits, nowMs: number): boolean {
    const pendingMs = this.findPending(nowMs);
    // A prompt that is longer than all that may be given has to go some time.
    return pendingMs === 0 || pendingMs + readingMs <= atOnceMs;
  }

  /** Whether nothing that was given before is still being read. */
  isIdle(nowMs: number): boolean {
    return this.findPending(nowMs) === 0;
  }

  note(readingMs: number, {readingShare}: PacingLimits, nowMs: number): void {
    this.pendingMs = this.findPending(nowMs) + readingMs;
    this.atMs = nowMs;
    this.readingShare = readingShare;
  }

  /**
   * No more is being read than the prompts of the runs that have not ended. What
   * was given in the belief that the engine is slow would else hold requests back
   * for long after it has shown that it is not.
   */
  limitTo(readingMs: number, nowMs: number): void {
    this.pendingMs = Math.min(this.findPending(nowMs), readingMs);
    this.atMs = nowMs;
  }

  private findPending(nowMs: number): number {
    const madeUpMs = (nowMs - this.atMs) * this.readingShare;
    return Math.max(0, this.pendingMs - madeUpMs);
  }
}
