import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {EventBoundary} from './event_boundary.js';

const test = suite('event boundary');

function pushText(boundary: EventBoundary, text: string): string {
  return Buffer.from(boundary.push(Buffer.from(text))).toString();
}

/* Guards against a partial event in front of the resumed stream. */
test('buffers an incomplete event', () => {
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

test('starts from the id of the last event that the caller received', () => {
  const boundary = new EventBoundary(12);
  assert.is(boundary.lastEventId, 12);
  pushText(boundary, 'id: 13\ndata: a\n\n');
  assert.is(boundary.lastEventId, 13);
});

// Guards against a server that begins a stream anew or repeats events: the ids would go back.
test('passes on no event whose id does not follow the last one', () => {
  const boundary = new EventBoundary(12);
  assert.is(pushText(boundary, 'id: 13\ndata: a\n\n'), 'id: 13\ndata: a\n\n');
  assert.is(pushText(boundary, 'id: 14\ndata: b\n\nid: 13\ndata: a\n\n'), '');
  assert.ok(boundary.isOutOfOrder);
  assert.is(boundary.lastEventId, 13);
  const anew = new EventBoundary(12);
  assert.is(pushText(anew, 'id: 1\ndata: a\n\n'), '');
  assert.ok(anew.isOutOfOrder);
});

test('a stream that may not be continued starts at any id', () => {
  const boundary = new EventBoundary(12, false);
  assert.is(pushText(boundary, 'id: 1\ndata: a\n\n'), 'id: 1\ndata: a\n\n');
  assert.not(boundary.isOutOfOrder);
  assert.is(boundary.lastEventId, 1);
});

// Guards against an event without end that is copied and searched again with each chunk.
test('an event in many chunks costs as much as in few', () => {
  const boundary = new EventBoundary(null);
  const chunk = Buffer.alloc(16, 'x');
  const startMs = performance.now();
  for (let pushed = 0; pushed < 65_536; pushed += 1) boundary.push(chunk);
  assert.is(boundary.partialBytes, 65_536 * chunk.length);
  assert.ok(performance.now() - startMs < 1_000);
  assert.is(boundary.push(Buffer.from('\n')).length, 0);
  const event = boundary.push(Buffer.from('\nid: 1'));
  assert.is(event.length, 65_536 * chunk.length + 2);
  assert.is(boundary.partialBytes, 5);
});

test.run();
