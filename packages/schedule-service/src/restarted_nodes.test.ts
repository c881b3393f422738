import {ManualClock} from '@mimosatack/clock';
import {
  ENGINE_SERVICE,
  flushPendingCallbacks,
  makeEngineEntry,
  makeEngineService,
} from '@mimosatack/fakes';
import {MemoryEventLogger} from '@mimosatack/logger';
import {BatchWorthPolicy} from '@mimosatack/schedule-models';
import {UNLIMITED} from '@mimosatack/share-limits';
import {type QuotaCharge} from '@mimosatack/team-quotas';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type FromHolderMessage, type ToHolderMessage} from './messages.js';
import {SchedulingService} from './scheduling_service.js';

const test = suite('requests of nodes that have restarted');

const REPORT = {startedAtMs: null, orderCount: 0, isBusy: false};
const DEFERRAL_MS = 2_000;
/** Longer than the caller of a stream waits for its first event. */
const RUN_MS = 20_000;

/** @param askId starts with the incarnation of the node. */
function makeAsk(
  askId: string,
  charge: QuotaCharge | null = null,
): ToHolderMessage {
  return {
    type: 'ask',
    ask: {
      ...{askId, requestId: `of-${askId}`, service: ENGINE_SERVICE},
      ...{model: 'm0', adapter: null, promptTokens: 10, outputTokens: 10},
      ...{priority: 0, waitedMs: 0, dueInMs: 500, gapMs: 300},
      ...{endsInMs: 8_000, excluded: [], allowed: null, charge},
      ...{softwareVersion: null, team: null, runEndsInMs: RUN_MS},
    },
  };
}

/** A scheduling node with one engine that runs one request at a time. */
function startScheduling() {
  const clock = new ManualClock();
  const assigned: string[] = [];
  const refunded: number[] = [];
  const residents = [{model: 'm0', adapters: []}];
  const host = new SchedulingService({
    ...{clock, logger: new MemoryEventLogger(), limiter: UNLIMITED},
    policy: new BatchWorthPolicy(),
    orders: {
      send: () => Promise.resolve({outcome: 'accepted', cause: null}),
      readReport: () => Promise.resolve({...REPORT, residents}),
    },
    quotas: {
      chargeAtHolder: () => null,
      refundAtHolder: ({amount}) => refunded.push(amount),
    },
    availability: {isLeaving: () => false, applyReported: () => undefined},
    authority: () => ({holder: 'a', fencingToken: 1}),
    ordersBlockedUntilMs: () => -Infinity,
    send: (_: string, message: FromHolderMessage) => {
      if (message.type === 'assigned') assigned.push(message.askId);
    },
    onFenced: () => undefined,
  });
  const {engine, ...service} = makeEngineService();
  if (!engine) throw new Error('The service has no engines.');
  host.start(
    [{...service, engine: {...engine, slots: 1}}],
    [makeEngineEntry('e1')],
  );
  const pass = async (durationMs: number) => {
    for (let waitedMs = 0; waitedMs < durationMs; waitedMs += 100) {
      clock.advance(100);
      await flushPendingCallbacks();
    }
  };
  return {host, assigned, refunded, pass};
}

// Guards against engines whose places stay taken by requests of a node that was killed.
test('the requests of a killed node end once it has started again', async () => {
  const {host, assigned, pass} = startScheduling();
  await flushPendingCallbacks();
  host.receive('10.0.0.1:1', makeAsk('first.1'));
  await flushPendingCallbacks();
  host.receive('10.0.0.1:1', makeAsk('second.1'));
  await pass(DEFERRAL_MS);
  host.stop();
  assert.equal(assigned, ['first.1', 'second.1']);
});

// Guards against places that stay taken while the killed node does not start again.
test('the requests of a node end when it is removed', async () => {
  const {host, assigned, pass} = startScheduling();
  await flushPendingCallbacks();
  host.receive('10.0.0.1:1', makeAsk('first.1'));
  host.receive('10.0.0.2:1', makeAsk('other.1'));
  await flushPendingCallbacks();
  host.endRequestsOf('first');
  await pass(DEFERRAL_MS);
  host.stop();
  assert.equal(assigned, ['first.1', 'other.1']);
});

// Guards against a place that is lost with the message that its request has ended.
test('a request ends some seconds after its own deadline', async () => {
  const {host, assigned, pass} = startScheduling();
  await flushPendingCallbacks();
  host.receive('10.0.0.1:1', makeAsk('first.1'));
  await pass(RUN_MS - DEFERRAL_MS);
  host.receive('10.0.0.2:1', makeAsk('early.1'));
  await pass(DEFERRAL_MS + 5_000);
  host.receive('10.0.0.2:1', makeAsk('late.1'));
  await pass(DEFERRAL_MS);
  host.stop();
  assert.equal(assigned, ['first.1', 'late.1']);
});

// Guards against a team that pays for requests of a killed node that never ran.
test('only requests that were never assigned are refunded, once', async () => {
  const {host, refunded, pass} = startScheduling();
  await flushPendingCallbacks();
  const charge = (amount: number) => ({team: 't', amount, isForced: false});
  host.receive('10.0.0.1:1', makeAsk('first.1', charge(10)));
  await flushPendingCallbacks();
  host.receive('10.0.0.1:1', makeAsk('first.2', charge(7)));
  host.receive('10.0.0.1:1', makeAsk('second.1'));
  host.receive('10.0.0.1:1', {type: 'withdraw', askId: 'first.2'});
  await pass(100);
  host.stop();
  assert.equal(refunded, [7]);
});

test.run();
