import {ManualClock} from '@mimosatack/clock';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type LimitChange, ServerLimits} from './server_limits.js';

const test = suite('limits that servers name');

const SERVER = {id: 'i-1', startedAtMs: 100};

function makeLimits() {
  const clock = new ManualClock();
  const changes: LimitChange[] = [];
  const invalid: string[] = [];
  const limits = new ServerLimits({
    clock,
    onChange: change => changes.push(change),
    onInvalid: id => invalid.push(id),
  });
  return {clock, limits, changes, invalid};
}

test('a limit holds until responses no longer name it', () => {
  const {clock, limits, changes} = makeLimits();
  limits.recordResponse(SERVER, 1.5);
  limits.recordResponse(SERVER, 1.5);
  assert.is(limits.find(SERVER), 1.5);
  clock.advance(5_000);
  assert.is(limits.find(SERVER), 1.5);
  limits.recordResponse(SERVER, null);
  assert.is(limits.find(SERVER), null);
  assert.equal(
    changes.map(({perSecond}) => perSecond),
    [1.5, null],
  );
});

// Guards against a limit that is dropped for a response sent before it was named.
test('a response that was overtaken does not lift a limit', () => {
  const {clock, limits} = makeLimits();
  limits.recordResponse(SERVER, 2);
  clock.advance(400);
  limits.recordResponse(SERVER, null);
  assert.is(limits.find(SERVER), 2);
});

test('a new incarnation has no limit until it names one', () => {
  const {limits} = makeLimits();
  limits.recordResponse(SERVER, 2);
  const restarted = {...SERVER, startedAtMs: 900};
  assert.is(limits.find(restarted), null);
  limits.recordResponse(restarted, 3);
  limits.recordResponse(SERVER, 1);
  assert.is(limits.find(restarted), 3);
});

test('an invalid limit is reported once and changes nothing', () => {
  const {limits, changes, invalid} = makeLimits();
  limits.recordResponse(SERVER, 'invalid');
  limits.recordResponse(SERVER, 'invalid');
  assert.is(limits.find(SERVER), null);
  assert.equal(invalid, ['i-1']);
  assert.equal(changes, []);
});

test.run();
