import {TypedError} from '@mimosatack/errors';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {catchError, startPeer, stopAll, waitFor} from './peer_fixture.js';

const exchange = suite('peer transport');
exchange.after.each(stopAll);

exchange('matches replies to requests in both directions', async () => {
  const [a, b] = [await startPeer('a'), await startPeer('b')];
  const texts = Array.from({length: 50}, (_, index) => `text ${index}`);
  const replies = await Promise.all(
    texts.map(text => a.transport.request(b.address, {text})),
  );
  assert.equal(
    replies.map(reply => reply.text),
    texts.map(text => `b got ${text}`),
  );
  const back = await b.transport.request(a.address, {text: 'back'});
  assert.is(back.text, 'a got back');
  assert.equal(b.received[0]!.from, {address: a.address, nodeName: 'a'});
  assert.equal(a.received[0]!.from, {address: b.address, nodeName: 'b'});
  assert.is(a.transport.connectionCount, 1);
  assert.is(a.transport.counters.bytesSent, b.transport.counters.bytesReceived);
  assert.is(a.transport.counters.bytesReceived, b.transport.counters.bytesSent);
});

exchange('keeps the order of one-way messages', async () => {
  const [a, b] = [await startPeer('a'), await startPeer('b')];
  const texts = Array.from({length: 100}, (_, index) => `text ${index}`);
  texts.forEach(text => a.transport.send(b.address, {text}));
  await waitFor(() => b.received.length === texts.length);
  assert.equal(
    b.received.map(({text}) => text),
    texts,
  );
});

// Guards against unbounded memory use while a peer is slow to connect.
exchange('drops the oldest one-way messages from a full queue', async () => {
  const [a, b] = [
    await startPeer('a', {maxQueuedMessages: 5}),
    await startPeer('b'),
  ];
  const reply = a.transport.request(b.address, {text: 'request'});
  Array.from({length: 10}, (_, index) =>
    a.transport.send(b.address, {text: `message ${index}`}),
  );
  assert.is((await reply).text, 'b got request');
  await waitFor(() => b.received.length === 5);
  assert.equal(
    b.received.map(({text}) => text),
    ['request', 'message 6', 'message 7', 'message 8', 'message 9'],
  );
  assert.is(a.transport.counters.messagesDropped, 6);
});

exchange('limits the number of connections', async () => {
  const a = await startPeer('a', {maxConnections: 2});
  const others = await Promise.all(
    ['b', 'c', 'd', 'e'].map(name => startPeer(name)),
  );
  await others.reduce(async (before, other) => {
    await before;
    await a.transport.request(other.address, {text: 'hello'});
  }, Promise.resolve());
  await waitFor(() => a.transport.connectionCount <= 2);
  const again = await a.transport.request(others[0]!.address, {text: 'again'});
  assert.is(again.text, 'b got again');
});

exchange('closes an unused connection', async () => {
  const a = await startPeer('a', {idleTimeoutMs: 20});
  const b = await startPeer('b');
  await a.transport.request(b.address, {text: 'hello'});
  await waitFor(() => a.transport.connectionCount === 0);
  await waitFor(() => b.transport.connectionCount === 0);
});

exchange('returns the error of a handler to the requester', async () => {
  const a = await startPeer('a');
  const b = await startPeer('b', {
    onMessage: () => {
      throw new TypedError('overloaded', 'Full.', {
        run: 'not-run',
        retryAfterMs: 7,
      });
    },
  });
  const error = await catchError(
    a.transport.request(b.address, {text: 'hello'}),
  );
  assert.is(error.kind, 'overloaded');
  assert.is(error.run, 'not-run');
  assert.is(error.retryAfterMs, 7);
});

exchange.run();
