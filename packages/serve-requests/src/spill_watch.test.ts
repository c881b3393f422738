import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type SpillChange, SpillWatch} from './spill_watch.js';

const test = suite('requests that leave their failure domain');

function play(shares: readonly number[]): SpillChange[] {
  const changes: SpillChange[] = [];
  const watch = new SpillWatch(change => changes.push(change));
  shares.forEach((share, second) =>
    Array.from({length: 100}, (_, index) =>
      watch.recordSent('lists', index >= share * 100, second * 1_000),
    ),
  );
  return changes;
}

// Guards against an event for each request, and for a burst of a second.
test('a spill is told once when it begins and once when it ceases', () => {
  const quiet = Array<number>(12).fill(0);
  const spilling = Array<number>(12).fill(0.4);
  const changes = play([...quiet, ...spilling, ...quiet]);
  assert.equal(
    changes.map(({isSpilling}) => isSpilling),
    [true, false],
  );
  assert.equal(play([...quiet, 0.4, ...quiet]), []);
});

// Guards against repeated events while the share is near one of the bounds.
test('a share between the bounds changes nothing', () => {
  const between = Array<number>(20).fill(0.05);
  assert.equal(play(between), []);
  assert.is(play([...Array<number>(12).fill(1), ...between]).length, 1);
});

test.run();
