/** Paces how much an engine is given to read. */

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
export const READING_SHARE = 0.6;

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

  /** Whether the engine may be given the prompt now. */
  hasRoom(readingMs: number, nowMs: number): boolean {
    const pendingMs = this.findPending(nowMs);
    // A prompt that is longer than all that may be given has to go some time.
    return pendingMs === 0 || pendingMs + readingMs <= AT_ONCE_MS;
  }

  /** Whether nothing that was given before is still being read. */
  isIdle(nowMs: number): boolean {
    return this.findPending(nowMs) === 0;
  }

  note(readingMs: number, nowMs: number): void {
    this.pendingMs = this.findPending(nowMs) + readingMs;
    this.atMs = nowMs;
  }

  private findPending(nowMs: number): number {
    const madeUpMs = (nowMs - this.atMs) * READING_SHARE;
    return Math.max(0, this.pendingMs - madeUpMs);
  }
}
