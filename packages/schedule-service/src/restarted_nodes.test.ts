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
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type FromHolderMessage, type ToHolderMessage} from './messages.js';
import {SchedulingService} from './scheduling_service.js';

const test = suite('requests of nodes that have restarted');

const REPORT = {startedAtMs: null, orderCount: 0, isBusy: false};
const DEFERRAL_MS = 2_000;

/** @param askId starts with the incarnation of the node. */
function makeAsk(askId: string): ToHolderMessage {
  return {
    type: 'ask',
    ask: {
      ...{askId, requestId: `of-${askId}`, service: ENGINE_SERVICE},
      ...{model: 'm0', adapter: null, promptTokens: 10, outputTokens: 10},
      ...{priority: 0, waitedMs: 0, dueInMs: 500, gapMs: 300},
      ...{endsInMs: 8_000, excluded: [], allowed: null, charge: null},
      softwareVersion: null,
      team: null,
    },
  };
}

/** A scheduling node with one engine that runs one request at a time. */
function startScheduling() {
  const clock = new ManualClock();
  const assigned: string[] = [];
  const residents = [{model: 'm0', adapters: []}];
  const host = new SchedulingService({
    ...{clock, logger: new MemoryEventLogger(), limiter: UNLIMITED},
    policy: new BatchWorthPolicy(),
    orders: {
      send: () => Promise.resolve({outcome: 'accepted', cause: null}),
      readReport: () => Promise.resolve({...REPORT, residents}),
    },
    quotas: {chargeAtHolder: () => null, refundAtHolder: () => undefined},
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
  return {clock, host, assigned};
}

// Guards against engines whose places stay taken by requests of a node that was killed.
test('the requests of a killed node end once it has started again', async () => {
  const {clock, host, assigned} = startScheduling();
  await flushPendingCallbacks();
  host.receive('10.0.0.1:1', makeAsk('first.1'));
  await flushPendingCallbacks();
  host.receive('10.0.0.1:1', makeAsk('second.1'));
  for (let waitedMs = 0; waitedMs < DEFERRAL_MS; waitedMs += 100) {
    clock.advance(100);
    await flushPendingCallbacks();
  }
  host.stop();
  assert.equal(assigned, ['first.1', 'second.1']);
});

test.run();
