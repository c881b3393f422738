/** The prompts that one engine is given to read. */
import {type BackendServerId, type ServiceName} from '@mimosatack/types';
import {
  type PacingLimits,
  PromptPacing,
  findPacingLimits,
} from './prompt_pacing.js';
import {type ReadingSpeed} from './prefill_speed.js';
import {type ScheduledRequest} from './scheduled_request.js';

/** Paces prompts by how fast the engine reads, and learns that from answers. */
export class EngineReading {
  private readonly pacing = new PromptPacing();
  /** Runs whose prompts came when nothing else was being read. */
  private readonly readAlone = new Set<string>();
  /** Prompts of the runs that have not ended. */
  private openTokens = 0;
  /** How many streams that run here bear which pause. */
  private readonly gaps = new Map<number, number>();

  constructor(
    private readonly id: BackendServerId,
    private readonly service: ServiceName,
    private readonly speed: ReadingSpeed,
  ) {}

  /** Whether reading the prompt would not hold up streams that run. */
  mayTake(request: ScheduledRequest, nowMs: number): boolean {
    const limits = this.findLimits(request);
    return this.pacing.hasRoom(this.findReadingMs(request), limits, nowMs);
  }

  noteStart(request: ScheduledRequest, nowMs: number): void {
    if (this.pacing.isIdle(nowMs)) this.readAlone.add(request.askId);
    const limits = this.findLimits(request);
    this.pacing.note(this.findReadingMs(request), limits, nowMs);
    this.openTokens += request.promptTokens;
    this.countGap(request, 1);
  }

  /** @param headMs until the answer began; null if it did not. */
  noteEnd(
    request: ScheduledRequest,
    headMs: number | null,
    nowMs: number,
  ): void {
    this.countGap(request, -1);
    this.openTokens -= request.promptTokens;
    this.learn(request, headMs);
    const {id, service} = this;
    const openMs = this.openTokens * this.speed.findMsPerToken(id, service);
    this.pacing.limitTo(openMs, nowMs);
  }

  private learn(request: ScheduledRequest, headMs: number | null): void {
    const wasAlone = this.readAlone.delete(request.askId);
    if (headMs === null) return;
    const {id, service} = this;
    const {promptTokens} = request;
    if (wasAlone) this.speed.note(id, service, promptTokens, headMs);
    else this.speed.noteAtMost(id, service, promptTokens, headMs);
  }

  /** Of the stream that bears the shortest pause, with the new one. */
  private findLimits({gapMs}: ScheduledRequest): PacingLimits {
    const gaps = [...this.gaps.keys(), ...(gapMs === null ? [] : [gapMs])];
    return findPacingLimits(gaps.length === 0 ? null : Math.min(...gaps));
  }

  private countGap({gapMs}: ScheduledRequest, change: 1 | -1): void {
    if (gapMs === null) return;
    const count = (this.gaps.get(gapMs) ?? 0) + change;
    if (count > 0) this.gaps.set(gapMs, count);
    else this.gaps.delete(gapMs);
  }

  private findReadingMs({promptTokens}: ScheduledRequest): number {
    return promptTokens * this.speed.findMsPerToken(this.id, this.service);
  }
}
