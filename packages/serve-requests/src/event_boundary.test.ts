import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {EventBoundary} from './event_boundary.js';

const test = suite('event boundary');

function pushText(boundary: EventBoundary, text: string): string {
  return Buffer.from(boundary.push(Buffer.from(text))).toString();
}

/*
 * A reader's stream stops in the middle of an event when its runner crashes.
 * Half an event must not reach the reader: the stream goes on elsewhere after
 * the last whole one, and the half would stand in front of it.
 */
test('holds back the beginning of an event', () => {
  const boundary = new EventBoundary(null);
  assert.is(
    pushText(boundary, 'id: 0\ndata: a\n\nid: 1\nda'),
    'id: 0\ndata: a\n\n',
  );
  assert.is(boundary.lastEventId, 0);
  assert.ok(boundary.hasPartialEvent);
  assert.is(pushText(boundary, 'ta: b\n'), '');
  assert.is(pushText(boundary, '\n'), 'id: 1\ndata: b\n\n');
  assert.is(boundary.lastEventId, 1);
  assert.not(boundary.hasPartialEvent);
});

test('keeps the id that the caller had before', () => {
  const boundary = new EventBoundary(12);
  assert.is(boundary.lastEventId, 12);
  pushText(boundary, 'id: 13\ndata: a\n\n');
  assert.is(boundary.lastEventId, 13);
});

test.run();
