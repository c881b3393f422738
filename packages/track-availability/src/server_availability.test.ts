import {ManualClock} from '@mimosatack/clock';
import {SeededRandom} from '@mimosatack/random';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type AvailabilityFacts, ServerAvailability} from './index.js';

const test = suite('what servers say about their availability');

const SERVER = {id: 'e1', startedAtMs: 1_000};

function makeFacts(change: Partial<AvailabilityFacts> = {}): AvailabilityFacts {
  return {isLeaving: false, pauseMs: null, invalidHeaders: [], ...change};
}

function createFixture(seed = 1) {
  const clock = new ManualClock();
  const events: string[] = [];
  const changed: string[] = [];
  const availability = new ServerAvailability({
    ...{clock, random: new SeededRandom(seed)},
    onChange: id => changed.push(id),
    onLeaving: id => events.push(`${id} leaves`),
    onPaused: (id, pauseMs) => events.push(`${id} paused for ${pauseMs}`),
    onInvalid: (id, header) => events.push(`${id} sent ${header}`),
  });
  return {clock, availability, events, changed};
}

test('a server that is leaving is reported once', () => {
  const {availability, events} = createFixture();
  availability.recordResponse(SERVER, makeFacts({isLeaving: true}));
  availability.recordResponse(SERVER, makeFacts());
  availability.recordResponse(SERVER, makeFacts({isLeaving: true}));
  assert.equal(events, ['e1 leaves']);
  assert.is(availability.leavingCount, 1);
});

// Guards against requests to a leaving server after a response without the header.
test('a server that is leaving gets no requests until it starts again', () => {
  const {availability} = createFixture();
  assert.is(availability.findWaitMs(SERVER), 0);
  availability.recordResponse(SERVER, makeFacts({isLeaving: true}));
  availability.recordResponse(SERVER, makeFacts());
  assert.is(availability.findWaitMs(SERVER), Infinity);
  assert.is(availability.findWaitMs({...SERVER, startedAtMs: null}), Infinity);
  assert.is(availability.findWaitMs({...SERVER, startedAtMs: 2_000}), 0);
});

// Guards against a late response that takes a restarted server out of use.
test('a late response of an earlier incarnation changes nothing', () => {
  const {availability} = createFixture();
  const restarted = {...SERVER, startedAtMs: 2_000};
  availability.recordResponse(restarted, makeFacts({pauseMs: 1}));
  availability.recordResponse(SERVER, makeFacts({isLeaving: true}));
  assert.is(availability.isLeaving(restarted), false);
});

// Guards against a server without a start time that is never used again.
test('a start time that becomes known later tells incarnations apart', () => {
  const {availability} = createFixture();
  availability.recordResponse(
    {id: 'e1', startedAtMs: null},
    makeFacts({isLeaving: true}),
  );
  assert.is(availability.isLeaving(SERVER), true);
  assert.is(availability.isLeaving({...SERVER, startedAtMs: 2_000}), false);
});

test('what one host was told holds at another', () => {
  const told = createFixture().availability;
  told.recordResponse(SERVER, makeFacts({isLeaving: true}));
  const {availability, events} = createFixture();
  told.list().forEach(report => availability.applyReported(report));
  told.list().forEach(report => availability.applyReported(report));
  assert.is(availability.isLeaving(SERVER), true);
  assert.equal(events, ['e1 leaves']);
});

test('a pause is reported when it begins', () => {
  const {clock, availability, events} = createFixture();
  availability.recordResponse(SERVER, makeFacts({pauseMs: 3_000}));
  clock.advance(1_000);
  availability.recordResponse(SERVER, makeFacts({pauseMs: 3_000}));
  clock.advance(3_000 - 1);
  assert.is(availability.pausedCount, 1);
  clock.advance(301);
  assert.is(availability.pausedCount, 0);
  availability.recordResponse(SERVER, makeFacts({pauseMs: 500}));
  assert.equal(events, ['e1 paused for 3000', 'e1 paused for 500']);
});

// Guards against requests to a server that wants none for some time.
test('a pause ends by itself and is not shortened by later responses', () => {
  const {clock, availability, changed} = createFixture();
  availability.recordResponse(SERVER, makeFacts({pauseMs: 3_000}));
  availability.recordResponse(SERVER, makeFacts({pauseMs: 500}));
  availability.recordResponse(SERVER, makeFacts());
  assert.ok(availability.findWaitMs(SERVER) >= 3_000);
  assert.is(availability.findWaitMs({...SERVER, startedAtMs: 2_000}), 0);
  assert.equal(changed, ['e1', 'e1']);
  clock.advance(3_300);
  assert.is(availability.findWaitMs(SERVER), 0);
  assert.equal(availability.list(), []);
});

// Guards against all hosts that return to a server at the same moment.
test('hosts end the same pause at different times', () => {
  const waits = [1, 2, 3, 4].map(seed => {
    const {availability} = createFixture(seed);
    availability.recordResponse(SERVER, makeFacts({pauseMs: 3_000}));
    return availability.findWaitMs(SERVER);
  });
  assert.is(new Set(waits).size, waits.length);
  waits.forEach(waitMs => assert.ok(waitMs >= 3_000 && waitMs <= 3_300));
});

// Guards against a server that is kept out of use by an absurd time.
test('a pause is bounded', () => {
  const {clock, availability} = createFixture();
  availability.recordResponse(SERVER, makeFacts({pauseMs: 1e12}));
  clock.advance(601_000);
  assert.is(availability.findWaitMs(SERVER), 0);
});

// Guards against a header that nobody can read and that fills the log.
test('an unreadable header is reported once for each incarnation', () => {
  const {availability, events} = createFixture();
  const facts = makeFacts({invalidHeaders: ['retry-after']});
  availability.recordResponse(SERVER, facts);
  availability.recordResponse(SERVER, facts);
  availability.recordResponse({...SERVER, startedAtMs: 2_000}, facts);
  assert.equal(events, ['e1 sent retry-after', 'e1 sent retry-after']);
});

test.run();
