/** Paces how many prompt tokens an engine is given to read. */

/**
 * Prompt tokens that an engine reads in a millisecond; the users' sheets give
 * 29.4 and 38.1. It is not configured, so the slower one is taken.
 */
export const PROMPT_TOKENS_PER_MS = 29.4;
/**
 * Reading that may be given at once. A stream's next event waits for what is
 * read meanwhile: with an event every 30 ms, this much and the share below,
 * the longest pause is (30 + 85) / (1 - 0.6) = 288 ms, below the 300 ms after
 * which a stream counts as late.
 */
const AT_ONCE_MS = 85;
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
  hasRoom(promptTokens: number, nowMs: number): boolean {
    const pendingMs = this.findPending(nowMs);
    // A prompt that is longer than all that may be given has to go some time.
    return (
      pendingMs === 0 || pendingMs + toReadingMs(promptTokens) <= AT_ONCE_MS
    );
  }

  note(promptTokens: number, nowMs: number): void {
    this.pendingMs = this.findPending(nowMs) + toReadingMs(promptTokens);
    this.atMs = nowMs;
  }

  private findPending(nowMs: number): number {
    const madeUpMs = (nowMs - this.atMs) * READING_SHARE;
    return Math.max(0, this.pendingMs - madeUpMs);
  }
}

function toReadingMs(promptTokens: number): number {
  return promptTokens / PROMPT_TOKENS_PER_MS;
}
