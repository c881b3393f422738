import {ManualClock} from '@mimosatack/clock';
import {settle} from '@mimosatack/fakes';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type NodeMessage, type RecordsMessage} from './messages.js';
import {RecordCatchUp} from './record_catch_up.js';

const test = suite('catching up with other nodes');

const HEARTBEAT_MS = 250;

function startCatchUp(ownVersion: number) {
  const clock = new ManualClock();
  const own = {
    ...{isServing: true, uptimeMs: 0, configurationVersion: ownVersion},
    ...{serversEndOffset: 5, nodesEndOffset: 5},
  };
  const asked: NodeMessage[] = [];
  const taken: RecordsMessage[] = [];
  let answer: (message: NodeMessage) => void = () => undefined;
  const catchUp = new RecordCatchUp({
    clock,
    request: (_address, message) => {
      asked.push(message);
      return new Promise(resolve => (answer = resolve));
    },
    readStatus: () => own,
    readsServers: () => false,
    ownReadMs: () => 1_000,
    onRecords: message => taken.push(message),
  });
  const look = (configurationVersion: number) =>
    catchUp.look('n1', {...own, configurationVersion});
  return {clock, own, asked, taken, look, answer: () => answer};
}

function makeRecords(): NodeMessage {
  const topic = 'configuration' as const;
  return {type: 'records', topic, fromOffset: 0, endOffset: 1, records: []};
}

// Guards against links that are filled by one configuration, fetched again and again.
test('a large configuration is fetched once at a time', async () => {
  const {clock, asked, taken, look, answer} = startCatchUp(3);
  Array.from({length: 12}, () => {
    look(4);
    clock.advance(HEARTBEAT_MS);
  });
  assert.is(asked.length, 1);
  answer()(makeRecords());
  await settle();
  assert.is(taken.length, 1);
  look(4);
  assert.is(asked.length, 2);
});

test('a node that reads the change by itself fetches nothing', () => {
  const {clock, own, asked, look} = startCatchUp(3);
  look(4);
  clock.advance(HEARTBEAT_MS);
  own.configurationVersion = 4;
  look(4);
  clock.advance(HEARTBEAT_MS);
  look(4);
  assert.equal(asked, []);
});

test('a node without a configuration fetches one at once', () => {
  const {asked, look} = startCatchUp(-1);
  look(4);
  assert.is(asked.length, 1);
});

test.run();
