import {ENGINE_SERVICE, makeEngineService} from '@mimosatack/fakes';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {BatchWorthPolicy} from './policies.js';
import {type ScheduledRequest} from './scheduled_request.js';
import {ModelScheduler} from './scheduler.js';
import {makeEngine} from './scheduler_fixture.js';

const test = suite('engines that are taken for slow');

const STEP_MS = 10;
const RUN_MS = 600;
const PROMPT_TOKENS = 650;

function makeRequest(askId: string, nowMs: number): ScheduledRequest {
  return {
    ...{askId, model: 'm0', service: ENGINE_SERVICE, adapter: null},
    ...{promptTokens: PROMPT_TOKENS, outputTokens: 70, priority: 0},
    ...{arrivedAtMs: nowMs, dueAtMs: nowMs + 600, endsAtMs: nowMs + 4_800},
    gapMs: 300,
    ...{excluded: new Set<string>(), allowed: null, nodeId: 'n1'},
  };
}

/** Asks at a steady rate; each run begins `headMs` after it was assigned. */
class SteadyPlay {
  readonly waitsMs: number[] = [];
  private readonly scheduler = new ModelScheduler({
    policy: new BatchWorthPolicy(),
  });
  private readonly running: Array<{askId: string; endsAtMs: number}> = [];
  private asked = 0;
  private nowMs = 0;

  constructor() {
    this.scheduler.configure([makeEngineService()]);
    this.scheduler.putEngine(makeEngine('e1', ['m0']), 0);
    const residents = [{model: 'm0', adapters: []}];
    const report = {startedAtMs: null, orderCount: 0, isBusy: false, residents};
    this.scheduler.noteReport('e1', report, 0);
  }

  run(forMs: number, perSecond: number, headMs: number): void {
    const endMs = this.nowMs + forMs;
    while (this.nowMs < endMs) {
      this.nowMs += STEP_MS;
      if (this.nowMs % (1_000 / perSecond) < STEP_MS) this.ask();
      this.endRuns(headMs);
      this.scheduler.decide(this.nowMs).forEach(decision => {
        if (decision.kind === 'assign') this.begin(decision.askId, headMs);
      });
    }
  }

  private ask(): void {
    this.asked += 1;
    const request = makeRequest(`r${this.asked}.${this.nowMs}`, this.nowMs);
    this.scheduler.ask(request, this.nowMs);
  }

  private begin(askId: string, headMs: number): void {
    this.waitsMs.push(this.nowMs - Number(askId.split('.')[1]));
    this.running.push({askId, endsAtMs: this.nowMs + headMs + RUN_MS});
  }

  private endRuns(headMs: number): void {
    const ended = this.running.filter(({endsAtMs}) => endsAtMs <= this.nowMs);
    ended.forEach(run => {
      this.running.splice(this.running.indexOf(run), 1);
      const {askId} = run;
      this.scheduler.noteEnd(askId, 'e1', 'served', headMs, this.nowMs);
    });
  }
}

/*
 * All nodes lose power and start together, on a third of a core each. The first
 * answers reach callers a second late, since the nodes are busy with starting, and
 * the engines are taken for slow readers. From then on every request is held back
 * for 0.9 s, for as long as requests keep coming: only an engine with nothing to
 * read taught its speed, and none seemed to have nothing to read.
 */
test('engines that answer soon again are given work at once again', () => {
  const play = new SteadyPlay();
  play.run(12_000, 1, 1_500);
  const before = play.waitsMs.length;
  play.run(10_000, 20, 30);
  const last = play.waitsMs.slice(before).slice(-40);
  const mean = last.reduce((sum, waitMs) => sum + waitMs, 0) / last.length;
  assert.ok(mean < 100, `${Math.round(mean)} ms`);
});

test.run();
