import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
  SERVICE,
  TestScheduling,
  makeRequest,
  makeServer,
} from './place_fixture.js';

const test = suite('places of plain servers');

// Guards against servers that get more requests than they have slots.
test('no server gets more requests than its slots', () => {
  const scheduling = new TestScheduling([makeServer('s1'), makeServer('s2')]);
  const assigned = scheduling.ask(20);
  assert.is(assigned.length, 8);
  const atFirst = assigned.filter(id => scheduling.findServerOf(id) === 's1');
  assert.is(atFirst.length, 4);
});

// Guards against a slot count that the server does not keep.
test('a rejection lowers the limit, which grows again after a second', () => {
  const scheduling = new TestScheduling([makeServer('s1')]);
  const findLimit = () =>
    scheduling.scheduler.describe(scheduling.nowMs)[0]?.limit;
  scheduling.press('s1', null);
  const [first = '', ...others] = scheduling.ask(4);
  scheduling.end([first], 'not-taken');
  assert.is(findLimit(), 3);
  assert.equal(scheduling.ask(1), []);
  scheduling.end(others);
  for (let rounds = 0; rounds < 4; rounds += 1) {
    scheduling.nowMs += 300;
    assert.is(findLimit(), 3);
    scheduling.end(scheduling.ask(6));
  }
  assert.is(findLimit(), 4);
});

// Guards against a server that is overwhelmed as soon as it has started.
test('a new server starts at a quarter of its slots', () => {
  const scheduling = new TestScheduling([makeServer('s1', {slots: 8})], false);
  const terms = {
    waitDeadlineAtMs: scheduling.nowMs + 5_000,
    endsAtMs: scheduling.nowMs + 9_000,
  };
  assert.is(scheduling.ask(8, terms).length, 2);
  scheduling.nowMs += 500;
  assert.is(scheduling.decide().length, 2);
  scheduling.nowMs += 500;
  assert.is(scheduling.ask(9, terms).length, 4);
});

// Guards against a team whose requests wait behind those of another one.
test('a team beside a burst gets its turn at once', () => {
  const scheduling = new TestScheduling([makeServer('s1')]);
  const running = scheduling.ask(100, {team: 'south'});
  scheduling.ask(2, {team: 'north'});
  scheduling.nowMs += 20;
  scheduling.end(running);
  const started = scheduling.decide();
  assert.ok(started.includes('r101') && started.includes('r102'));
});

// Guards against a burst that waits for places that come too late.
test('what cannot start in time is refused at once, of the burst alone', () => {
  const scheduling = new TestScheduling([makeServer('s1')]);
  for (let rounds = 0; rounds < 20; rounds += 1) {
    const running = scheduling.ask(1, {team: 'south'});
    scheduling.nowMs += 100;
    scheduling.end(running);
  }
  scheduling.ask(60, {team: 'south'});
  scheduling.ask(2, {team: 'north'});
  assert.ok(scheduling.countRefused('south') >= 25);
  assert.is(scheduling.countRefused('north'), 0);
  const refusals = scheduling.decisions.flatMap(decision =>
    decision.kind === 'refuse' ? [decision.retryAfterMs] : [],
  );
  assert.ok(refusals.every(retryAfterMs => retryAfterMs >= 800));
  assert.ok(new Set(refusals).size > 1);
});

// Guards against callers that learn only after their time that nothing was free.
test('a request that waits too long is refused', () => {
  const scheduling = new TestScheduling([makeServer('s1', {slots: 1})]);
  scheduling.ask(2);
  scheduling.nowMs += 700;
  scheduling.decide();
  assert.is(scheduling.countRefused('north'), 1);
});

// Guards against a brittle server that falls over under the requests of all nodes.
test('a brittle server gets few requests above what it rejected', () => {
  const scheduling = new TestScheduling([makeServer('s1')]);
  scheduling.press('s1', 4);
  const taken = 2;
  const rejectedAtMs: number[] = [];
  for (let rounds = 0; rounds < 400; rounds += 1) {
    const running = scheduling.ask(5);
    scheduling.end(running.slice(0, taken));
    const rejected = running.slice(taken);
    rejected.forEach(() => rejectedAtMs.push(scheduling.nowMs));
    scheduling.end(rejected, 'not-taken');
    scheduling.nowMs += 20;
  }
  const mostInSecond = Math.max(
    ...rejectedAtMs.map(
      fromMs =>
        rejectedAtMs.filter(atMs => atMs >= fromMs && atMs < fromMs + 1_000)
          .length,
    ),
  );
  assert.ok(mostInSecond <= 4, `${mostInSecond} rejections in a second`);
});

// Guards against places that stay taken by requests whose node was killed.
test('runs end with the incarnation of their node, or with its removal', () => {
  const scheduling = new TestScheduling([makeServer('s1')]);
  scheduling.ask(4);
  assert.is(scheduling.ask(4, {incarnation: 'i2'}).length, 4);
  scheduling.scheduler.endRequestsOf('i2');
  assert.is(scheduling.ask(4, {nodeAddress: 'n2'}).length, 4);
});

// Guards against places that stay taken by requests whose end is never reported.
test('a run ends at its deadline at the latest', () => {
  const scheduling = new TestScheduling([makeServer('s1')]);
  scheduling.ask(4);
  scheduling.nowMs += 1_000;
  scheduling.decide();
  assert.is(scheduling.ask(4).length, 4);
});

// Guards against requests that wait for a server that is gone.
test('without a server for it a request is refused at once', () => {
  const scheduling = new TestScheduling([makeServer('s1'), makeServer('s2')]);
  scheduling.ask(8);
  scheduling.scheduler.removeServer('s1');
  assert.is(scheduling.ask(1, {excluded: new Set(['s2'])}).length, 0);
  assert.is(scheduling.countRefused('north'), 1);
});

// Guards against runs that count twice, or not at all, after the scheduling node has changed.
test('requests that run already take places', () => {
  const scheduling = new TestScheduling([makeServer('s1')]);
  ['a', 'b', 'b'].forEach(id =>
    scheduling.scheduler.recordRunning(
      makeRequest(id, scheduling.nowMs),
      ...(['s1', scheduling.nowMs] as const),
    ),
  );
  assert.is(scheduling.ask(4).length, 2);
});

// Guards against coordination that never ends, or that ends while requests wait.
test('coordination ends three seconds after the last pressure', () => {
  const scheduling = new TestScheduling([makeServer('s1')]);
  scheduling.press('s1', null);
  const running = scheduling.ask(4);
  scheduling.nowMs += 3_500;
  assert.equal(scheduling.scheduler.listCoordinated(), [SERVICE]);
  scheduling.end(running);
  scheduling.decide();
  assert.equal(scheduling.scheduler.listCoordinated(), []);
});

// Guards against messages where teams do not share capacity.
test('load alone coordinates nothing without teams', () => {
  const scheduling = new TestScheduling([makeServer('s1')]);
  scheduling.scheduler.configure([SERVICE], null);
  scheduling.press('s1', null);
  assert.equal(scheduling.scheduler.listCoordinated(), []);
  scheduling.press('s1', 8);
  assert.equal(scheduling.scheduler.listCoordinated(), [SERVICE]);
});

// Guards against a place that is lost when a withdrawal crosses the assignment.
test('a withdrawal leaves what was assigned to the end of its run', () => {
  const scheduling = new TestScheduling([makeServer('s1', {slots: 1})]);
  const assigned = scheduling.ask(1);
  assert.is(scheduling.scheduler.withdraw('r1'), false);
  scheduling.end(assigned);
  assert.is(scheduling.ask(1).length, 1);
});

// Guards against a place for a request that has ended while it waited.
test('a waiting request that has ended gets no place', () => {
  const scheduling = new TestScheduling([makeServer('s1', {slots: 1})]);
  const running = scheduling.ask(2);
  scheduling.end(['r2', ...running]);
  assert.equal(scheduling.decide(), []);
});

// Guards against a server that gets all waiting requests at once in spite of its limit.
test('each start of a decision counts for the next one', () => {
  const scheduling = new TestScheduling([makeServer('s1')]);
  scheduling.permits = 1;
  assert.is(scheduling.ask(4).length, 1);
});

// Guards against a brittle server that one rejection at a low load caps for ever.
[0, 4].forEach(perSecond =>
  test(`a brittle server of ${perSecond} takes all its slots again`, () => {
    const scheduling = new TestScheduling([makeServer('s1')]);
    scheduling.press('s1', perSecond);
    const [first = '', ...others] = scheduling.ask(2);
    scheduling.end([first], 'not-taken');
    scheduling.end(others);
    const counts: number[] = [];
    for (let rounds = 0; rounds < 400; rounds += 1) {
      scheduling.nowMs += 100;
      const running = scheduling.ask(5);
      counts.push(running.length);
      scheduling.end(running);
    }
    assert.is(counts.at(-1), 4);
    const inFirstSeconds = counts.slice(0, 90);
    if (perSecond === 0) assert.is(Math.max(...inFirstSeconds), 1);
  }),
);

// Guards against retries that are refused although servers are idle.
test('a retry past its time to wait gets a place that is free', () => {
  const scheduling = new TestScheduling([makeServer('s1')]);
  for (let rounds = 0; rounds < 20; rounds += 1) {
    const running = scheduling.ask(1);
    scheduling.nowMs += 100;
    scheduling.end(running);
  }
  const waitDeadlineAtMs = scheduling.nowMs - 100;
  assert.is(scheduling.ask(1, {waitDeadlineAtMs}).length, 1);
  assert.is(scheduling.countRefused('north'), 0);
});

// Guards against requests that wait for servers that take no more.
test('without a server that stays a request is refused at once', () => {
  const scheduling = new TestScheduling([makeServer('s1')]);
  scheduling.leaving.add('s1');
  scheduling.ask(1);
  assert.is(scheduling.countRefused('north'), 1);
});

// Guards against terms of a server's previous incarnation that bound the next one.
test('late terms of a previous incarnation are ignored', () => {
  const scheduling = new TestScheduling([makeServer('s1', {startedAtMs: 2})]);
  scheduling.press('s1', 0);
  const [first = '', ...others] = scheduling.ask(2);
  scheduling.end([first], 'not-taken');
  assert.is(scheduling.ask(1).length, 0);
  scheduling.end(others);
  for (let rounds = 0; rounds < 40; rounds += 1) {
    scheduling.nowMs += 100;
    scheduling.end(scheduling.ask(5));
  }
  assert.ok(scheduling.ask(5).length > 1);
});

// Guards against a service without servers that is coordinated for ever.
test('coordination ends without servers', () => {
  const scheduling = new TestScheduling([makeServer('s1')]);
  scheduling.press('s1', null);
  scheduling.scheduler.removeServer('s1');
  scheduling.nowMs += 3_500;
  scheduling.decide();
  assert.equal(scheduling.scheduler.listCoordinated(), []);
});

// Guards against one node without a way to a server that closes it for all nodes.
test('a server closes for all nodes once a second one does not reach it', () => {
  const scheduling = new TestScheduling([makeServer('s1')]);
  const n2 = {nodeAddress: 'n2', incarnation: 'i2'};
  scheduling.end(scheduling.ask(2), 'unreachable');
  assert.is(scheduling.ask(1).length, 0);
  const ofOther = scheduling.ask(2, n2);
  assert.is(ofOther.length, 2);
  scheduling.end(ofOther.slice(0, 1), 'unreachable');
  const n3 = {nodeAddress: 'n3', incarnation: 'i3'};
  assert.is(scheduling.ask(1, n3).length, 0);
});

// Guards against a server that is gone and goes on getting requests of the only node.
test('a server closes for all nodes when the same one misses it twice', () => {
  const scheduling = new TestScheduling([makeServer('s1')]);
  const n2 = {nodeAddress: 'n2', incarnation: 'i2'};
  scheduling.end(scheduling.ask(1), 'unreachable');
  scheduling.nowMs += 500;
  scheduling.end(scheduling.ask(1), 'unreachable');
  assert.is(scheduling.ask(1, n2).length, 0);
});

// Guards against a node without a way to a server that closes it while others reach it.
test('a response to another node keeps the server open for all', () => {
  const scheduling = new TestScheduling([makeServer('s1')]);
  const n2 = {nodeAddress: 'n2', incarnation: 'i2'};
  scheduling.end(scheduling.ask(1), 'unreachable');
  scheduling.nowMs += 500;
  scheduling.end(scheduling.ask(1, n2));
  scheduling.end(scheduling.ask(1), 'unreachable');
  assert.is(scheduling.ask(1, n2).length, 1);
});

test.run();
