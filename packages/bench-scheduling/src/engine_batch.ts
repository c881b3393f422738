/** The requests that run together on one virtual engine. */
import {type ScheduledRequest} from '@mimosatack/schedule-models';

/** How fast an engine reads prompts and makes tokens. */
export interface EngineSpeed {
  /** Time of one step of a batch, and what each request adds to it. */
  stepMs: number;
  stepMsPerRequest: number;
  promptTokensPerMs: number;
  /** Tokens that each event of a stream holds. */
  tokensPerEvent: number;
}

/** A run that is over. */
export interface EndedRun {
  request: ScheduledRequest;
  /** From its begin until its prompt was read. */
  headMs: number;
  firstEventAtMs: number;
  /** The longest time between two of its events. */
  longestGapMs: number;
}

interface Run {
  request: ScheduledRequest;
  beganAtMs: number;
  promptReadAtMs: number;
  tokensLeft: number;
  tokensOfEvent: number;
  firstEventAtMs: number | null;
  lastEventAtMs: number;
  longestGapMs: number;
}

/**
 * Reads prompts one after the other and makes tokens for all requests in
 * between. A prompt that is read holds up the streams that run: that is what
 * requests sent to one engine at the same moment cost its other users.
 */
export class EngineBatch {
  private runs: Run[] = [];
  private readingUntilMs = 0;
  private atMs = 0;

  constructor(private readonly speed: EngineSpeed) {}

  begin(request: ScheduledRequest, nowMs: number): void {
    const readingMs = request.promptTokens / this.speed.promptTokensPerMs;
    this.readingUntilMs = Math.max(this.readingUntilMs, nowMs) + readingMs;
    this.runs.push({
      request,
      beganAtMs: nowMs,
      promptReadAtMs: this.readingUntilMs,
      tokensLeft: request.outputTokens,
      tokensOfEvent: 0,
      firstEventAtMs: null,
      lastEventAtMs: nowMs,
      longestGapMs: 0,
    });
  }

  /** Runs on until `nowMs` and hands over what has ended. */
  advance(nowMs: number): EndedRun[] {
    const fromMs = Math.min(nowMs, Math.max(this.atMs, this.readingUntilMs));
    const tokens = (nowMs - fromMs) / this.findStepMs();
    this.atMs = nowMs;
    const reading = this.runs.filter(run => run.promptReadAtMs <= nowMs);
    reading.forEach(run => this.makeTokens(run, tokens, nowMs));
    const ended = this.runs.filter(({tokensLeft}) => tokensLeft <= 0);
    this.runs = this.runs.filter(({tokensLeft}) => tokensLeft > 0);
    return ended.map(run => ({
      request: run.request,
      headMs: run.promptReadAtMs - run.beganAtMs,
      firstEventAtMs: run.firstEventAtMs ?? nowMs,
      longestGapMs: run.longestGapMs,
    }));
  }

  private findStepMs(): number {
    const {stepMs, stepMsPerRequest} = this.speed;
    return stepMs + stepMsPerRequest * this.runs.length;
  }

  private makeTokens(run: Run, tokens: number, nowMs: number): void {
    run.tokensLeft -= tokens;
    run.tokensOfEvent += tokens;
    const isWhole = run.tokensOfEvent >= this.speed.tokensPerEvent;
    if (!isWhole && run.tokensLeft > 0) return;
    run.tokensOfEvent = 0;
    if (run.firstEventAtMs === null) run.firstEventAtMs = nowMs;
    else {
      const gapMs = nowMs - run.lastEventAtMs;
      run.longestGapMs = Math.max(run.longestGapMs, gapMs);
    }
    run.lastEventAtMs = nowMs;
  }
}
