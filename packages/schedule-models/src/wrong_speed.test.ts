import {ENGINE_SERVICE, makeEngineService} from '@mimosatack/fakes';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {BatchWorthPolicy} from './policies.js';
import {type ScheduledRequest} from './scheduled_request.js';
import {ModelScheduler} from './scheduler.js';
import {makeEngine} from './scheduler_fixture.js';

const test = suite('engines wrongly estimated as slow');

const STEP_MS = 10;
const RUN_MS = 600;
const PROMPT_TOKENS = 650;

function makeRequest(askId: string, nowMs: number): ScheduledRequest {
  return {
    ...{askId, model: 'm0', service: ENGINE_SERVICE, adapter: null},
    ...{promptTokens: PROMPT_TOKENS, outputTokens: 70, priority: 0},
    ...{arrivedAtMs: nowMs, dueAtMs: nowMs + 600, endsAtMs: nowMs + 4_800},
    gapMs: 300,
    ...{
      excluded: new Set<string>(),
      allowed: null,
      softwareVersion: null,
      team: null,
      nodeId: 'n1',
    },
  };
}

/** Sends requests at a steady rate; responses begin after `ttfbMs`. */
class SteadyTraffic {
  readonly waitsMs: number[] = [];
  private readonly scheduler = new ModelScheduler({
    policy: new BatchWorthPolicy(),
  });
  private readonly running: Array<{askId: string; endsAtMs: number}> = [];
  private requestCount = 0;
  private nowMs = 0;

  constructor() {
    this.scheduler.configure([makeEngineService()]);
    this.scheduler.putEngine(makeEngine('e1', ['m0']), 0);
    const residents = [{model: 'm0', adapters: []}];
    const report = {startedAtMs: null, orderCount: 0, isBusy: false, residents};
    this.scheduler.recordReport('e1', report, 0);
  }

  run(forMs: number, perSecond: number, ttfbMs: number): void {
    const endMs = this.nowMs + forMs;
    while (this.nowMs < endMs) {
      this.nowMs += STEP_MS;
      if (this.nowMs % (1_000 / perSecond) < STEP_MS) this.ask();
      this.endRuns(ttfbMs);
      this.scheduler.decide(this.nowMs).forEach(decision => {
        if (decision.kind === 'assign') this.begin(decision.askId, ttfbMs);
      });
    }
  }

  private ask(): void {
    this.requestCount += 1;
    const request = makeRequest(
      `r${this.requestCount}.${this.nowMs}`,
      this.nowMs,
    );
    this.scheduler.enqueue(request, this.nowMs);
  }

  private begin(askId: string, ttfbMs: number): void {
    this.waitsMs.push(this.nowMs - Number(askId.split('.')[1]));
    this.running.push({askId, endsAtMs: this.nowMs + ttfbMs + RUN_MS});
  }

  private endRuns(ttfbMs: number): void {
    const ended = this.running.filter(({endsAtMs}) => endsAtMs <= this.nowMs);
    ended.forEach(run => {
      this.running.splice(this.running.indexOf(run), 1);
      const {askId} = run;
      this.scheduler.recordEnd(askId, 'e1', 'served', ttfbMs, this.nowMs);
    });
  }
}

/*
 * Guards against engines that stay estimated as slow after late responses at a
 * cold start, so that every request is deferred by 0.9 s.
 */
test('engines that respond quickly again receive requests at once', () => {
  const sim = new SteadyTraffic();
  sim.run(12_000, 1, 1_500);
  const before = sim.waitsMs.length;
  sim.run(10_000, 20, 30);
  const last = sim.waitsMs.slice(before).slice(-40);
  const mean = last.reduce((sum, waitMs) => sum + waitMs, 0) / last.length;
  assert.ok(mean < 100, `${Math.round(mean)} ms`);
});

test.run();
