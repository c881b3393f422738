import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {UnservedModels} from './unserved_models.js';

const test = suite('models that are asked for in vain');

const WEIGHTS = {model: 'm1', adapter: 'a1'};
const REASON = 'weights-remote';
const SECOND_MS = 1_000;

/** Refuses a request each second and returns what is told. */
function refuseEachSecond(
  models: UnservedModels,
  [fromS, toS]: readonly [number, number],
) {
  const seconds = Array.from({length: toS - fromS + 1}, (_, at) => fromS + at);
  return seconds.flatMap(
    second => models.recordRefused(WEIGHTS, REASON, second * SECOND_MS) ?? [],
  );
}

// Guards against a model that is never served and that no log or metric names.
test('a model that is refused for 8 s is told once, until it is served', () => {
  const models = new UnservedModels();
  const told = {...WEIGHTS, refusals: 9, unservedMs: 8_000, reason: REASON};
  assert.equal(refuseEachSecond(models, [0, 20]), [told]);
  assert.is(models.count, 1);
  models.recordAssigned(WEIGHTS);
  assert.is(models.count, 0);
  assert.equal(refuseEachSecond(models, [21, 28]), []);
  assert.equal(refuseEachSecond(models, [29, 29]), [told]);
});

test('adapters and models are counted apart, and few refusals are not told', () => {
  const models = new UnservedModels();
  [0, 5, 10].forEach(second => {
    const nowMs = second * SECOND_MS;
    assert.is(models.recordRefused(WEIGHTS, REASON, nowMs), null);
    const model = {...WEIGHTS, adapter: null};
    assert.is(models.recordRefused(model, REASON, nowMs), null);
  });
});

test('refusals of long ago do not count, and names are bounded', () => {
  const models = new UnservedModels();
  refuseEachSecond(models, [0, 2]);
  assert.is(models.recordRefused(WEIGHTS, REASON, 100_000), null);
  for (let at = 0; at < 10_000; at += 1) {
    const odd = {model: `odd-${at}`, adapter: null};
    [0, 9_000, 9_001, 9_002].forEach(ms =>
      models.recordRefused(odd, REASON, 200_000 + ms),
    );
  }
  assert.ok(models.count <= 4_096);
});

test.run();
