import {ManualClock} from '@mimosatack/clock';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {KnownServingList, ServingList} from './serving_list.js';

const serving = suite('the list of serving nodes');

/*
 * Story: a fleet of hundreds of nodes serves few requests and yet its links and
 * processors are busy. Each heartbeat of each node was answered with the names
 * of all of them, though none had come or gone.
 */
serving('a node that has the list is not told it again', () => {
  const clock = new ManualClock();
  const list = new ServingList(clock, 'life-1', () => ['b', 'a']);
  const known = new KnownServingList();
  assert.equal(known.take(list.tell(known.id)), ['a', 'b']);
  const again = list.tell(known.id);
  assert.is(again.servingNodes, null);
  assert.equal(known.take(again), ['a', 'b']);
});

serving('a node that comes is told to all', () => {
  const clock = new ManualClock();
  let nodeNames = ['a'];
  const list = new ServingList(clock, 'life-1', () => [...nodeNames]);
  const known = new KnownServingList();
  known.take(list.tell(known.id));
  nodeNames = ['a', 'c'];
  clock.advance(200);
  assert.equal(known.take(list.tell(known.id)), ['a', 'c']);
});

/*
 * Story: callers are sent to nodes that have left. A new holder counts its
 * versions from the start, and a node took its first list for one that it had.
 */
serving('the list of another holder is told in full', () => {
  const clock = new ManualClock();
  const known = new KnownServingList();
  known.take(new ServingList(clock, 'life-1', () => ['a', 'b']).tell(known.id));
  const next = new ServingList(clock, 'life-2', () => ['b']);
  assert.equal(known.take(next.tell(known.id)), ['b']);
});

serving.run();
