import {ManualClock} from '@mimosatack/clock';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {ReceivedServingList, ServingList} from './serving_list.js';

const test = suite('the list of serving nodes');

// Guards against sending all node names in reply to every heartbeat.
test('an unchanged list is not sent again', () => {
  const clock = new ManualClock();
  const list = new ServingList(clock, 'life-1', () => ['b', 'a']);
  const received = new ReceivedServingList();
  assert.equal(received.apply(list.describeFor(received.id)), ['a', 'b']);
  const update = list.describeFor(received.id);
  assert.is(update.servingNodes, null);
  assert.equal(received.apply(update), ['a', 'b']);
});

test('a list with an added node is sent', () => {
  const clock = new ManualClock();
  let nodeNames = ['a'];
  const list = new ServingList(clock, 'life-1', () => [...nodeNames]);
  const received = new ReceivedServingList();
  received.apply(list.describeFor(received.id));
  nodeNames = ['a', 'c'];
  clock.advance(200);
  assert.equal(received.apply(list.describeFor(received.id)), ['a', 'c']);
});

// Guards against mistaking a new holder's list for an equal version of the old
// holder, after which callers were sent to nodes that had left.
test('the list of another holder is sent in full', () => {
  const clock = new ManualClock();
  const received = new ReceivedServingList();
  received.apply(
    new ServingList(clock, 'life-1', () => ['a', 'b']).describeFor(received.id),
  );
  const next = new ServingList(clock, 'life-2', () => ['b']);
  assert.equal(received.apply(next.describeFor(received.id)), ['b']);
});

test.run();
