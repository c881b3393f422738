import {ManualClock} from '@mimosatack/clock';
import {flushPendingCallbacks} from '@mimosatack/fakes';
import {
  type ServerAsk,
  type ServerChoice,
  type ServerChooser,
} from '@mimosatack/serve-requests';
import {type BackendServerEntry} from '@mimosatack/types';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type ToHolderMessage} from './messages.js';
import {PressureReporter} from './pressure_reporter.js';
import {ScheduledChooser} from './scheduled_chooser.js';

const test = suite('asks for places at plain servers');

const SERVICE = 'lists';
const SERVER: BackendServerEntry = {
  ...{id: 's1', startedAtMs: null, service: SERVICE, softwareVersion: 'v1'},
  ...{address: {ip: '127.0.0.1', port: 1}, failureDomain: 'hall-a'},
  ...{slots: 4, state: 'ready', leavesInMs: null, residents: []},
  near: {inHostMemory: [], onDisk: []},
};

function makeAsk(): ServerAsk {
  return {
    request: {
      ...{requestId: 'r1', host: 'h', method: 'GET', path: '/a', headers: []},
      ...{body: new Uint8Array(), receivedAtMs: 0, deadlineMs: null},
      ...{lastEventId: null, resumedRequestId: null, keyHashes: []},
      ...{tokenCount: 0, generation: null},
    },
    route: {
      ...{name: 'a', host: 'h', pathPrefix: '/a/', kind: 'idempotent'},
      ...{timeoutMs: 5_000, targetLatencyMs: 500, targetGapMs: null},
      ...{priority: 1, maxAttempts: 2, traffic: [], hasSessionAffinity: true},
      ...{isResumable: false, isPublic: false},
    },
    service: {name: SERVICE, healthPath: '/', maxConnections: 9, engine: null},
    ...{excluded: new Set<string>(), allowed: null, endsAtMs: 5_000},
    ...{softwareVersion: null, team: 'north', hasBegun: false, charge: null},
    ...{priority: 0, signal: new AbortController().signal},
  };
}

function makeLocal(onChoose = () => undefined as void): ServerChooser {
  const choice: ServerChoice = {
    ...{status: 'chosen', server: SERVER, askId: null},
    basis: {by: 'own-view'},
  };
  return {
    choose: () => {
      onChoose();
      return Promise.resolve(choice);
    },
    release: () => undefined,
    recordSent: () => undefined,
    recordLoad: () => undefined,
    recordTerms: () => undefined,
    recordResult: () => undefined,
  };
}

function startChooser(teamShares = true) {
  const clock = new ManualClock();
  const sent: ToHolderMessage[] = [];
  const state = {hasHolder: true, localChoices: 0};
  const sendToHolder = (message: ToHolderMessage) =>
    state.hasHolder && sent.push(message) > 0;
  const local = makeLocal(() => (state.localChoices += 1));
  const hasTeamShares = () => teamShares;
  const chooser = new ScheduledChooser({
    ...{clock, askIdPrefix: 'n1', local, sendToHolder},
    pressure: new PressureReporter({clock, sendToHolder, hasTeamShares}),
    permits: {settle: () => false, handleHolderLost: () => undefined},
    availability: {describe: () => [], list: () => []},
    quotas: {charge: () => null, refund: () => undefined},
    areAllLeaving: () => false,
    findLocalLimit: () => null,
    findServer: () => SERVER,
    onQuotaRefused: () => undefined,
  });
  const listSent = () => sent.map(({type}) => type);
  return {chooser, clock, sent, listSent, state};
}

function findBasis(choice: ServerChoice): string | null {
  return choice.status === 'chosen' ? choice.basis.by : null;
}

// Guards against messages for services that the scheduling node does not coordinate.
test('without coordination a node chooses by itself and sends nothing', async () => {
  const {chooser, listSent} = startChooser();
  assert.is(findBasis(await chooser.choose(makeAsk())), 'own-view');
  assert.equal(listSent(), []);
});

// Guards against requests that wait for a frozen scheduling node.
test('without an answer for 300 ms a node chooses by itself', async () => {
  const {chooser, clock, listSent} = startChooser();
  chooser.setCoordinated([SERVICE]);
  const choice = chooser.choose(makeAsk());
  clock.advance(300);
  await flushPendingCallbacks();
  assert.is(findBasis(await choice), 'own-view');
  assert.equal(listSent(), ['ask', 'withdraw']);
});

// Guards against nodes that add to the load of a scheduling node that is behind.
test('while other asks are answered a node goes on waiting', async () => {
  const {chooser, clock} = startChooser();
  chooser.setCoordinated([SERVICE]);
  const first = chooser.choose(makeAsk());
  const second = chooser.choose(makeAsk());
  clock.advance(250);
  chooser.receive({
    ...{type: 'assigned', askId: 'n1.1', engineId: 's1', softwareVersion: 'v1'},
  });
  clock.advance(50);
  await flushPendingCallbacks();
  assert.is(findBasis(await first), 'schedule');
  assert.is(chooser.pendingCount, 1);
  clock.advance(250);
  assert.is(findBasis(await second), 'own-view');
});

// Guards against nodes that pass by the queue because it is long.
test('a request that is queued waits for its place', async () => {
  const {chooser, clock, listSent} = startChooser();
  chooser.setCoordinated([SERVICE]);
  const choice = chooser.choose(makeAsk());
  chooser.receive({type: 'queued', askId: 'n1.1'});
  clock.advance(2_000);
  await flushPendingCallbacks();
  assert.is(chooser.pendingCount, 1);
  chooser.receive({
    ...{type: 'assigned', askId: 'n1.1', engineId: 's1', softwareVersion: 'v1'},
  });
  assert.is(findBasis(await choice), 'schedule');
  assert.equal(listSent(), ['ask']);
});

// Guards against callers that cannot tell a refusal from a failure.
test('a refused place is an overload with a time to come back', async () => {
  const {chooser} = startChooser();
  chooser.setCoordinated([SERVICE]);
  const pending = chooser.choose(makeAsk());
  chooser.receive({
    ...{type: 'refused', askId: 'n1.1', reason: 'no-room', retryAfterMs: 900},
  });
  const choice = await pending;
  assert.is(choice.status === 'refused' && choice.error.kind, 'overloaded');
  assert.is(choice.status === 'refused' && choice.error.retryAfterMs, 900);
});

// Guards against messages for requests whose refusal is known already.
test('what was just refused for its team is refused without an ask', async () => {
  const {chooser, clock, listSent} = startChooser();
  chooser.setCoordinated([SERVICE]);
  const first = chooser.choose(makeAsk());
  chooser.receive({
    ...{type: 'refused', askId: 'n1.1', reason: 'no-room', retryAfterMs: 900},
    forecastMs: 4_000,
  });
  assert.is((await first).status, 'refused');
  assert.is((await chooser.choose(makeAsk())).status, 'refused');
  assert.equal(listSent(), ['ask']);
  void chooser.choose({...makeAsk(), team: 'south'});
  clock.advance(501);
  void chooser.choose(makeAsk());
  assert.equal(listSent(), ['ask', 'ask', 'ask']);
});

// Guards against a message for each response of a server under pressure.
test('pressure is reported once a second, and only where it matters', async () => {
  const {chooser, clock, listSent} = startChooser();
  await chooser.choose(makeAsk());
  const record = (running: number) =>
    chooser.recordLoad(SERVER, {
      running,
      waiting: 0,
      slots: 4,
      slowdownPercent: null,
    });
  record(7);
  assert.equal(listSent(), []);
  [8, 9, 9].forEach(record);
  assert.equal(listSent(), ['pressure']);
  clock.advance(1_000);
  record(8);
  assert.is(listSent().length, 2);
  const alone = startChooser(false);
  await alone.chooser.choose(makeAsk());
  alone.chooser.recordLoad(SERVER, {
    running: 4,
    waiting: 9,
    slots: 4,
    slowdownPercent: null,
  });
  assert.equal(alone.listSent(), []);
  const terms = {brittlePerSecond: 3, isLimited: false};
  alone.chooser.recordTerms(SERVER, terms);
  assert.equal(alone.listSent(), ['pressure']);
});

// Guards against a second charge and permit for a request of which this node decides.
test('without a scheduling node a server is chosen once', async () => {
  const {chooser, clock, state} = startChooser();
  chooser.setCoordinated([SERVICE]);
  state.hasHolder = false;
  const choice = chooser.choose(makeAsk());
  chooser.handleHolderLost();
  clock.advance(300);
  await flushPendingCallbacks();
  assert.is(findBasis(await choice), 'own-view');
  assert.is(state.localChoices, 1);
});

// Guards against requests that wait for a scheduling node that froze after it had queued them.
test('a queued request waits no longer than its time to wait', async () => {
  const {chooser, clock, listSent} = startChooser();
  chooser.setCoordinated([SERVICE]);
  const choice = chooser.choose(makeAsk());
  chooser.receive({type: 'queued', askId: 'n1.1'});
  clock.advance(3_200);
  await flushPendingCallbacks();
  assert.is(chooser.pendingCount, 1);
  clock.advance(100);
  await flushPendingCallbacks();
  assert.is(findBasis(await choice), 'own-view');
  assert.equal(listSent(), ['ask', 'withdraw']);
});

// Guards against a third scheduling node that does not learn which servers are brittle.
test('each new scheduling node learns which servers are brittle', async () => {
  const {chooser, clock, listSent} = startChooser();
  await chooser.choose(makeAsk());
  chooser.recordTerms(SERVER, {brittlePerSecond: 3, isLimited: false});
  [1, 2].forEach(() => {
    clock.advance(2_000);
    chooser.sendStateToHolder();
  });
  assert.is(listSent().filter(type => type === 'pressure').length, 3);
});

test.run();
