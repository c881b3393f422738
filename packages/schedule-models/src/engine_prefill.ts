/** Limits the prompts that are sent to one engine. */
import {type BackendServerId, type ServiceName} from '@mimosatack/types';
import {
  type PacingLimits,
  PromptPacing,
  findPacingLimits,
} from './prompt_pacing.js';
import {type PrefillSpeed} from './prefill_speed.js';
import {type ScheduledRequest} from './scheduled_request.js';

/**
 * Paces prompts by the engine's prefill speed and updates that speed from
 * responses.
 */
export class EnginePrefill {
  private readonly pacing = new PromptPacing();
  /** Runs whose prompt was sent while no other prompt was being read. */
  private readonly startedIdle = new Set<string>();
  /** Prompt tokens of all unfinished runs. */
  private unfinishedTokens = 0;
  /** Number of running streams by their longest acceptable pause. */
  private readonly gapCounts = new Map<number, number>();

  constructor(
    private readonly id: BackendServerId,
    private readonly service: ServiceName,
    private readonly speed: PrefillSpeed,
  ) {}

  /** Whether reading the prompt would not stall running streams. */
  hasCapacity(request: ScheduledRequest, nowMs: number): boolean {
    const limits = this.findLimits(request);
    return this.pacing.hasCapacity(this.findPrefillMs(request), limits, nowMs);
  }

  recordStart(request: ScheduledRequest, nowMs: number): void {
    if (this.pacing.isIdle(nowMs)) this.startedIdle.add(request.askId);
    const limits = this.findLimits(request);
    this.pacing.record(this.findPrefillMs(request), limits, nowMs);
    this.unfinishedTokens += request.promptTokens;
    this.updateGapCount(request, 1);
  }

  /** @param ttfbMs time until the response began; null if it did not. */
  recordEnd(
    request: ScheduledRequest,
    ttfbMs: number | null,
    nowMs: number,
  ): void {
    this.updateGapCount(request, -1);
    this.unfinishedTokens -= request.promptTokens;
    this.updateSpeed(request, ttfbMs);
    const {id, service} = this;
    const unfinishedMs =
      this.unfinishedTokens * this.speed.findMsPerToken(id, service);
    this.pacing.capPending(unfinishedMs, nowMs);
  }

  private updateSpeed(request: ScheduledRequest, ttfbMs: number | null): void {
    const wasIdle = this.startedIdle.delete(request.askId);
    if (ttfbMs === null) return;
    const {id, service} = this;
    const {promptTokens} = request;
    if (wasIdle) this.speed.record(id, service, promptTokens, ttfbMs);
    else this.speed.recordUpperBound(id, service, promptTokens, ttfbMs);
  }

  /**
   * Limits for the stream with the shortest acceptable pause, including the new
   * one.
   */
  private findLimits({gapMs}: ScheduledRequest): PacingLimits {
    const gaps = [...this.gapCounts.keys(), ...(gapMs === null ? [] : [gapMs])];
    return findPacingLimits(gaps.length === 0 ? null : Math.min(...gaps));
  }

  private updateGapCount({gapMs}: ScheduledRequest, change: 1 | -1): void {
    if (gapMs === null) return;
    const count = (this.gapCounts.get(gapMs) ?? 0) + change;
    if (count > 0) this.gapCounts.set(gapMs, count);
    else this.gapCounts.delete(gapMs);
  }

  private findPrefillMs({promptTokens}: ScheduledRequest): number {
    return promptTokens * this.speed.findMsPerToken(this.id, this.service);
  }
}
