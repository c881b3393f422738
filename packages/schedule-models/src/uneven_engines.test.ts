import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {BatchWorthPolicy} from './policies.js';
import {ModelScheduler} from './scheduler.js';
import {makeEngine, makeRequest, makeService} from './scheduler_fixture.js';

const test = suite('uneven engines');

/** Two engines that hold the model; requests run until they are ended. */
class EngineChoices {
  readonly scheduler = new ModelScheduler({policy: new BatchWorthPolicy()});
  nowMs = 1_000;
  private count = 0;

  constructor() {
    this.scheduler.configure([makeService()]);
    ['e1', 'e2'].forEach(id => {
      this.scheduler.putEngine(makeEngine(id, ['hot']), 0);
    });
  }

  /** The engine of a request that begins now. */
  assign(): {askId: string; engineId: string} {
    const askId = `r${(this.count += 1)}`;
    this.scheduler.enqueue(makeRequest(askId, 'hot', this.nowMs), this.nowMs);
    const [decision] = this.scheduler.decide(this.nowMs);
    if (decision?.kind !== 'assign') throw new Error('Not assigned.');
    return {askId, engineId: decision.engineId};
  }

  /** Runs a request for the time that its engine takes. */
  serve(findMs: (engineId: string) => number): string {
    const {askId, engineId} = this.assign();
    this.nowMs += findMs(engineId);
    this.scheduler.recordEnd(askId, engineId, 'served', 20, this.nowMs);
    return engineId;
  }

  recordSlowdown(engineId: string, percent: number): void {
    this.scheduler.recordSlowdown(engineId, percent, this.nowMs);
  }
}

// Guards against requests at a machine that does other work at the moment.
test('an engine that is slowed down gets no requests while one is faster', () => {
  const choices = new EngineChoices();
  const first = choices.serve(() => 100);
  choices.recordSlowdown(first, 100);
  Array.from({length: 5}, () => choices.serve(() => 100));
  choices.recordSlowdown(first, 250);
  assert.is.not(choices.assign().engineId, first);
});

// Guards against slow machines that get as many requests as fast ones.
test('the speed of an engine is learned', () => {
  const choices = new EngineChoices();
  // The other engine gets requests only while this one is slowed down.
  choices.recordSlowdown('e1', 250);
  const served = Array.from({length: 40}, () =>
    choices.serve(id => (id === 'e1' ? 300 : 100)),
  );
  assert.ok(
    served.slice(-20).every(id => id === 'e2'),
    served.join(' '),
  );
});

// Guards against spreading requests thinly, so that no engine is idle for a load.
test('equally fast engines are filled one after the other', () => {
  const choices = new EngineChoices();
  choices.recordSlowdown('e1', 100);
  const ids = Array.from({length: 3}, () => {
    choices.nowMs += 100;
    return choices.assign().engineId;
  });
  assert.is(new Set(ids).size, 1);
});

test.run();
