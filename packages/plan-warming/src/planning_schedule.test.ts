import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {PlanningSchedule, fingerprintEvent} from './planning_schedule.js';
import {FixtureLog, makeServers, minutes} from './test_fixtures.js';

const test = suite('planning agenda');

const OPTIONS = {firstRetryMs: 1_000, maxRetryMs: 4_000, patienceMs: 5_000};

function setUp() {
  const log = new FixtureLog(makeServers(2), ['m1']);
  const startsAtMs = minutes(60);
  const event = log.putEvent('e', {startsAtMs, needs: [{model: 'm1'}]});
  const fingerprint = (nowMs: number, mark = '') =>
    fingerprintEvent({
      event,
      held: log.listHeld('e'),
      requestedModels: new Set(),
      nowMs,
      formatServerStatus: () => mark,
    });
  return {log, event, fingerprint, agenda: new PlanningSchedule(OPTIONS)};
}

test('plans an event again only when its inputs change', () => {
  const {log, event, fingerprint, agenda} = setUp();
  assert.ok(agenda.isDue('e', fingerprint(0), 0));
  log.apply('e', log.plan('e', 0));
  const decided = fingerprint(1);
  assert.ok(agenda.isDue('e', decided, 1));
  agenda.recordSettled('e', decided);
  assert.not(agenda.isDue('e', fingerprint(2), 2));
  assert.not(agenda.hasUnsettled);
  assert.ok(agenda.isDue('e', fingerprint(2, 'lost'), 2));
  assert.ok(agenda.isDue('e', fingerprint(event.endsAtMs), event.endsAtMs));
});

test('retries with increasing delays while replicas are unplaced', () => {
  const {agenda} = setUp();
  const tries = Array.from({length: 20}, (_unused, second) => second * 1_000);
  const tried = tries.filter(nowMs => {
    if (!agenda.isDue('e', 'short', nowMs)) return false;
    agenda.recordUnsettled('e', 'short', nowMs);
    return true;
  });
  assert.equal(tried, [0, 1_000, 3_000, 7_000, 11_000, 15_000, 19_000]);
});

test('lets the next node plan an event that the first one skips', () => {
  // Guards against a cold event when the responsible node is up but cannot
  // write to the log.
  const {agenda} = setUp();
  agenda.isDue('e', 'changed', 100);
  assert.ok(agenda.isRankDue('e', 0, 100));
  assert.not(agenda.isRankDue('e', 1, 5_000));
  assert.ok(agenda.isRankDue('e', 1, 5_100));
  assert.not(agenda.isRankDue('e', 2, 5_100));
});

test.run();
