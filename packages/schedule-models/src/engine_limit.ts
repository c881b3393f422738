/** What the limit that an engine names leaves room for. */
import {
  type ServerIncarnation,
  type ServerLimiter,
} from '@mimosatack/share-limits';

export class EngineLimit {
  constructor(
    private readonly findServer: () => ServerIncarnation,
    private readonly limiter: ServerLimiter,
  ) {}

  get isNamed(): boolean {
    return this.limiter.isLimited(this.findServer());
  }

  /** When the engine may get its next request; `nowMs` without a limit. */
  findNextRequestMs(nowMs: number): number {
    return this.limiter.findNextMs(this.findServer(), nowMs);
  }

  /** When there is room for a request behind `ahead` others. */
  findRoomAfterMs(ahead: number, nowMs: number): number {
    const durationMs = this.limiter.findDurationMs(this.findServer(), ahead);
    return this.findNextRequestMs(nowMs) + durationMs;
  }

  recordAssigned(nowMs: number): void {
    this.limiter.take(this.findServer(), nowMs);
  }
}
