/** Limits how many prompt tokens an engine is given to read at a time. */

/** The pause between stream events at which the limits below apply. */
const REFERENCE_GAP_MS = 300;
/**
 * Prefill time that may be sent at once. With an event every 30 ms, the longest
 * pause is (30 + 40) / (1 - 0.6) = 175 ms, which leaves room for one usual
 * prompt below the 300 ms at which a stream counts as late.
 */
const BURST_MS = 40;
/** Fraction of an engine's time that may be spent on reading prompts. */
const PREFILL_SHARE = 0.6;
/**
 * Bounds of that fraction. Above the upper bound, pauses grow faster than the
 * acceptable pause; below the lower one, prompts wait without benefit.
 */
const MAX_PREFILL_SHARE = 0.8;
const MIN_PREFILL_SHARE = 0.3;

/** Limits on prefill beside streams with a given acceptable pause. */
export interface PacingLimits {
  burstMs: number;
  prefillShare: number;
}

/**
 * Scales the limits with the acceptable pause. Guards against requests that
 * miss their latency objective because of pauses that no stream objects to.
 *
 * @param gapMs the longest acceptable pause between events; null for requests
 *     whose responses have no events.
 */
export function findPacingLimits(gapMs: number | null): PacingLimits {
  const factor = (gapMs ?? REFERENCE_GAP_MS) / REFERENCE_GAP_MS;
  return {
    burstMs: BURST_MS * factor,
    prefillShare: Math.min(
      MAX_PREFILL_SHARE,
      Math.max(MIN_PREFILL_SHARE, 1 - (1 - PREFILL_SHARE) / factor),
    ),
  };
}

/**
 * Leaky bucket of prefill time. Guards against stalled streams when all
 * requests that waited for a model are sent to the engine at once. Sent in portions,
 * the first requests lose nothing and the last ones some hundred milliseconds.
 */
export class PromptPacing {
  /** Prefill time that was sent and has not drained yet. */
  private pendingMs = 0;
  private updatedAtMs = 0;
  private prefillShare = PREFILL_SHARE;

  /** Whether the prompt may be sent now. */
  hasCapacity(
    prefillMs: number,
    {burstMs}: PacingLimits,
    nowMs: number,
  ): boolean {
    const pendingMs = this.findPendingMs(nowMs);
    // A prompt that exceeds the whole burst is sent when no other is pending.
    return pendingMs === 0 || pendingMs + prefillMs <= burstMs;
  }

  /** Whether no prompt that was sent before is still being read. */
  isIdle(nowMs: number): boolean {
    return this.findPendingMs(nowMs) === 0;
  }

  record(prefillMs: number, {prefillShare}: PacingLimits, nowMs: number): void {
    this.pendingMs = this.findPendingMs(nowMs) + prefillMs;
    this.updatedAtMs = nowMs;
    this.prefillShare = prefillShare;
  }

  /**
   * Caps the pending time at the prefill time of all unfinished runs. Guards
   * against deferring requests after an engine was wrongly estimated as slow.
   */
  capPending(prefillMs: number, nowMs: number): void {
    this.pendingMs = Math.min(this.findPendingMs(nowMs), prefillMs);
    this.updatedAtMs = nowMs;
  }

  private findPendingMs(nowMs: number): number {
    const drainedMs = (nowMs - this.updatedAtMs) * this.prefillShare;
    return Math.max(0, this.pendingMs - drainedMs);
  }
}
