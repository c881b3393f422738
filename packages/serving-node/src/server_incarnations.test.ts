import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {ServerIncarnations} from './server_incarnations.js';

const test = suite('server lives');

// Guards against a delayed heartbeat that names models of an earlier process.
test('a delayed entry of an earlier process is rejected', () => {
  const lives = new ServerIncarnations();
  assert.ok(lives.accepts('s1', 1_000));
  assert.ok(lives.accepts('s1', 9_000));
  assert.not(lives.accepts('s1', 1_000));
  assert.ok(lives.accepts('s1', 9_000));
  assert.not(lives.accepts('s1', 1_000));
});

// Guards against rejecting a server whose host's clock was set back.
test('the second entry in a row with an earlier start time is accepted', () => {
  const lives = new ServerIncarnations();
  lives.accepts('s1', 9_000);
  assert.not(lives.accepts('s1', 4_000));
  assert.ok(lives.accepts('s1', 4_000));
  assert.ok(lives.accepts('s1', 4_000));
  assert.ok(lives.accepts('s1', 9_500));
});

test('an entry without a start time is accepted and changes nothing', () => {
  const lives = new ServerIncarnations();
  lives.accepts('s1', 9_000);
  assert.ok(lives.accepts('s1', null));
  assert.not(lives.accepts('s1', 1_000));
});

test('the number of tracked servers is bounded', () => {
  const lives = new ServerIncarnations();
  lives.accepts('first', 9_000);
  Array.from({length: 2_000}, (_, at) => lives.accepts(`s${at}`, 9_000));
  assert.ok(lives.accepts('first', 1_000));
});

test.run();
