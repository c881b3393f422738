import {ManualClock} from '@mimosatack/clock';
import {flushPendingCallbacks} from '@mimosatack/fakes';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type NodeMessage, type RecordsMessage} from './messages.js';
import {RecordCatchUp} from './record_catch_up.js';

const test = suite('fetching missing records from other nodes');

const HEARTBEAT_MS = 250;

function startCatchUp(ownVersion: number) {
  const clock = new ManualClock();
  const own = {
    ...{
      isServing: true,
      reachesServers: true,
      uptimeMs: 0,
      configurationVersion: ownVersion,
    },
    ...{serversEndOffset: 5, nodesEndOffset: 5},
  };
  const requests: NodeMessage[] = [];
  const received: RecordsMessage[] = [];
  let answer: (message: NodeMessage) => void = () => undefined;
  const catchUp = new RecordCatchUp({
    clock,
    request: (_address, message) => {
      requests.push(message);
      return new Promise(resolve => (answer = resolve));
    },
    readStatus: () => own,
    readsServers: () => false,
    ownReadMs: () => 1_000,
    onRecords: message => received.push(message),
  });
  const compare = (configurationVersion: number) =>
    catchUp.compare('n1', {...own, configurationVersion});
  return {clock, own, requests, received, compare, answer: () => answer};
}

function makeRecords(): NodeMessage {
  const topic = 'configuration' as const;
  return {type: 'records', topic, fromOffset: 0, endOffset: 1, records: []};
}

// Guards against links saturated by concurrent fetches of one configuration.
test('only one fetch of a configuration is in flight', async () => {
  const {clock, requests, received, compare, answer} = startCatchUp(3);
  Array.from({length: 12}, () => {
    compare(4);
    clock.advance(HEARTBEAT_MS);
  });
  assert.is(requests.length, 1);
  answer()(makeRecords());
  await flushPendingCallbacks();
  assert.is(received.length, 1);
  compare(4);
  assert.is(requests.length, 2);
});

test('a node that reads the change from the store fetches nothing', () => {
  const {clock, own, requests, compare} = startCatchUp(3);
  compare(4);
  clock.advance(HEARTBEAT_MS);
  own.configurationVersion = 4;
  compare(4);
  clock.advance(HEARTBEAT_MS);
  compare(4);
  assert.equal(requests, []);
});

test('a node without a configuration fetches one at once', () => {
  const {requests, compare} = startCatchUp(-1);
  compare(4);
  assert.is(requests.length, 1);
});

test.run();
