import {ManualClock} from '@mimosatack/clock';
import {flushPendingCallbacks, makeEngineEntry} from '@mimosatack/fakes';
import {MemoryEventLogger} from '@mimosatack/logger';
import {SeededRandom} from '@mimosatack/random';
import {UNLIMITED} from '@mimosatack/share-limits';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type ToHolderMessage} from './messages.js';
import {PlacingService} from './placing_service.js';

const test = suite('the service of places');

const SERVICE = 'lists';

function makeAsk(askId: string, model: string | null = null): ToHolderMessage {
  return {
    type: 'ask',
    ask: {
      ...{askId, requestId: `of-${askId}`, service: SERVICE, model},
      ...{adapter: null, promptTokens: 0, outputTokens: 0, priority: 0},
      ...{waitedMs: 0, dueInMs: 500, gapMs: null, endsInMs: 8_000},
      ...{excluded: [], allowed: null, charge: null, softwareVersion: null},
      ...{team: null, runEndsInMs: 8_000},
    },
  };
}

/** A scheduling node with one plain server that takes one request at a time. */
function startPlacing() {
  const assigned: string[] = [];
  const placing = new PlacingService({
    ...{clock: new ManualClock(), logger: new MemoryEventLogger()},
    ...{random: new SeededRandom(1), limiter: UNLIMITED},
    quotas: {chargeAtHolder: () => null, refundAtHolder: () => undefined},
    availability: {isLeaving: () => false},
    send: (_, message) => {
      if (message.type === 'assigned') assigned.push(message.askId);
    },
    broadcast: () => undefined,
  });
  const service = {name: SERVICE, healthPath: '/', maxConnections: 9};
  const server = {...makeEngineEntry('s1'), service: SERVICE, slots: 1};
  placing.start([{...service, engine: null}], [server], null);
  return {placing, assigned};
}

// Guards against places of a killed node that asks for engines alone after its restart.
test('any ask of a restarted node ends the runs of its last process', async () => {
  const {placing, assigned} = startPlacing();
  placing.receive('10.0.0.1:1', makeAsk('first.1'));
  await flushPendingCallbacks();
  placing.receive('10.0.0.2:1', makeAsk('other.1'));
  placing.receive('10.0.0.1:1', makeAsk('second.1', 'm0'));
  await flushPendingCallbacks();
  placing.stop();
  assert.equal(assigned, ['first.1', 'other.1']);
});

test.run();
