import {ManualClock} from '@mimosatack/clock';
import {MemoryEventLogger} from '@mimosatack/logger';
import {SeededRandom} from '@mimosatack/random';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {makeServerAvailability} from './server_availability_log.js';

const test = suite('availability of servers at a node');

const SERVER = {id: 'e1', startedAtMs: null};

function createFixture() {
  const clock = new ManualClock(1_000_000);
  const logger = new MemoryEventLogger();
  const changed: string[] = [];
  const availability = makeServerAvailability(
    {clock, logger, random: new SeededRandom(1)},
    id => changed.push(id),
  );
  return {clock, logger, changed, availability};
}

// Guards against a pause that is cut short when the wall clock is set forward.
test('a pause does not depend on the wall clock', () => {
  const {clock, availability} = createFixture();
  availability.recordResponse(SERVER, {
    ...{isLeaving: false, pauseMs: 3_000, invalidHeaders: []},
  });
  clock.suspend(60_000);
  assert.ok(availability.findWaitMs(SERVER) >= 3_000);
  clock.advance(3_300);
  assert.is(availability.findWaitMs(SERVER), 0);
});

test('what a server says is logged, and passed on', () => {
  const {logger, changed, availability} = createFixture();
  availability.recordResponse(SERVER, {
    ...{isLeaving: true, pauseMs: 3_000, invalidHeaders: ['retry-after']},
  });
  assert.equal(
    logger.events.map(({name}) => name),
    ['server-leaving', 'server-paused', 'server-availability-invalid'],
  );
  assert.equal(changed, ['e1', 'e1']);
});

test.run();
