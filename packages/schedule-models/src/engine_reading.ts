/** The prompts that one engine is given to read. */
import {type BackendServerId, type ServiceName} from '@mimosatack/types';
import {PromptPacing} from './prompt_pacing.js';
import {type ReadingSpeed} from './reading_speed.js';
import {type ScheduledRequest} from './scheduled_request.js';

/** Paces prompts by how fast the engine reads, and learns that from answers. */
export class EngineReading {
  private readonly pacing = new PromptPacing();
  /** Runs whose prompts came when nothing else was being read. */
  private readonly readAlone = new Set<string>();

  constructor(
    private readonly id: BackendServerId,
    private readonly service: ServiceName,
    private readonly speed: ReadingSpeed,
  ) {}

  /** Whether reading the prompt would not hold up streams that run. */
  mayTake(request: ScheduledRequest, nowMs: number): boolean {
    return this.pacing.hasRoom(this.findReadingMs(request), nowMs);
  }

  noteStart(request: ScheduledRequest, nowMs: number): void {
    if (this.pacing.isIdle(nowMs)) this.readAlone.add(request.askId);
    this.pacing.note(this.findReadingMs(request), nowMs);
  }

  /** @param headMs until the answer began; null if it did not. */
  noteEnd(request: ScheduledRequest, headMs: number | null): void {
    const wasAlone = this.readAlone.delete(request.askId);
    if (!wasAlone || headMs === null) return;
    this.speed.note(this.id, this.service, request.promptTokens, headMs);
  }

  private findReadingMs({promptTokens}: ScheduledRequest): number {
    return promptTokens * this.speed.findMsPerToken(this.id, this.service);
  }
}
