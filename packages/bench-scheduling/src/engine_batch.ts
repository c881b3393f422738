/** Continuous batching of requests on one virtual engine. */
import {type ScheduledRequest} from '@mimosatack/schedule-models';

/** Prefill and decoding speed of an engine. */
export interface EngineSpeed {
  /** Base time of one decoding step of a batch. */
  stepMs: number;
  /** Time that each request of the batch adds to a step. */
  stepMsPerRequest: number;
  promptTokensPerMs: number;
  /** Tokens in one event of a response stream. */
  tokensPerEvent: number;
}

/** A finished run and its timing. */
export interface FinishedRun {
  request: ScheduledRequest;
  /** Time from the start of the run to the end of its prefill. */
  headMs: number;
  firstEventAtMs: number;
  /** The longest pause between two consecutive events. */
  longestGapMs: number;
}

interface Run {
  request: ScheduledRequest;
  beganAtMs: number;
  prefilledAtMs: number;
  tokensLeft: number;
  tokensInEvent: number;
  firstEventAtMs: number | null;
  lastEventAtMs: number;
  longestGapMs: number;
}

/**
 * Prefills prompts one after another and decodes all running requests between
 * prefills. Each prefill stalls the running streams.
 */
export class EngineBatch {
  private runs: Run[] = [];
  private prefillUntilMs = 0;
  private advancedToMs = 0;

  constructor(private readonly speed: EngineSpeed) {}

  begin(request: ScheduledRequest, nowMs: number): void {
    const prefillMs = request.promptTokens / this.speed.promptTokensPerMs;
    this.prefillUntilMs = Math.max(this.prefillUntilMs, nowMs) + prefillMs;
    this.runs.push({
      request,
      beganAtMs: nowMs,
      prefilledAtMs: this.prefillUntilMs,
      tokensLeft: request.outputTokens,
      tokensInEvent: 0,
      firstEventAtMs: null,
      lastEventAtMs: nowMs,
      longestGapMs: 0,
    });
  }

  /** Simulates up to `nowMs` and returns the runs that have finished. */
  advance(nowMs: number): FinishedRun[] {
    const fromMs = Math.min(
      nowMs,
      Math.max(this.advancedToMs, this.prefillUntilMs),
    );
    const tokens = (nowMs - fromMs) / this.computeStepMs();
    this.advancedToMs = nowMs;
    const decoding = this.runs.filter(run => run.prefilledAtMs <= nowMs);
    decoding.forEach(run => this.decode(run, tokens, nowMs));
    const finished = this.runs.filter(({tokensLeft}) => tokensLeft <= 0);
    this.runs = this.runs.filter(({tokensLeft}) => tokensLeft > 0);
    return finished.map(run => ({
      request: run.request,
      headMs: run.prefilledAtMs - run.beganAtMs,
      firstEventAtMs: run.firstEventAtMs ?? nowMs,
      longestGapMs: run.longestGapMs,
    }));
  }

  private computeStepMs(): number {
    const {stepMs, stepMsPerRequest} = this.speed;
    return stepMs + stepMsPerRequest * this.runs.length;
  }

  private decode(run: Run, tokens: number, nowMs: number): void {
    run.tokensLeft -= tokens;
    run.tokensInEvent += tokens;
    const isEventFull = run.tokensInEvent >= this.speed.tokensPerEvent;
    if (!isEventFull && run.tokensLeft > 0) return;
    run.tokensInEvent = 0;
    if (run.firstEventAtMs === null) run.firstEventAtMs = nowMs;
    else {
      const gapMs = nowMs - run.lastEventAtMs;
      run.longestGapMs = Math.max(run.longestGapMs, gapMs);
    }
    run.lastEventAtMs = nowMs;
  }
}
