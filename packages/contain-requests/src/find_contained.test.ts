/** Who is contained when several requests were at servers that ended. */
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {findContained} from './find_contained.js';

const test = suite('which requests are contained');

function makeCuts(cuts: Readonly<Record<string, readonly string[]>>) {
  return new Map(
    Object.entries(cuts).map(([fingerprint, lives]) => [
      fingerprint,
      new Map(lives.map(life => [life, 0])),
    ]),
  );
}

function find(cuts: Readonly<Record<string, readonly string[]>>): string[] {
  return [...findContained(makeCuts(cuts))].sort();
}

test('one under which three servers ended, not one with two', () => {
  assert.equal(find({bad: ['a', 'b', 'c'], other: ['a', 'b']}), ['bad']);
});

/*
 * A request is resumed at engine after engine, and the same bad request is at
 * each of them. It would be refused for an hour, though it has crashed nothing.
 */
test('one that stood beside a worse one each time is innocent', () => {
  const bad = ['a', 'b', 'c', 'd'];
  assert.equal(find({bad, beside: ['a', 'b', 'c']}), ['bad']);
});

test('an end that no other request explains tells against it', () => {
  const bad = ['a', 'b', 'c', 'd'];
  assert.equal(find({bad, own: ['a', 'b', 'x']}), ['bad', 'own']);
});

test('two that can not be told apart are both contained', () => {
  const lives = ['a', 'b', 'c'];
  assert.equal(find({one: lives, two: lives}), ['one', 'two']);
});

test('what an innocent was at explains nothing', () => {
  const cuts = {
    bad: ['a', 'b', 'c', 'd', 'e'],
    beside: ['a', 'b', 'c', 'd'],
    worse: ['d', 'x', 'y'],
  };
  assert.equal(find(cuts), ['bad', 'worse']);
});

test.run();
