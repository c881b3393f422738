import {TypedError} from '@mimosatack/errors';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {catchError, startPeer, stopAll, waitFor} from './peer_fixture.js';

const exchange = suite('messages between two transports');
exchange.after.each(stopAll);

exchange('a request gets its own reply, in either direction', async () => {
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

exchange('messages without a reply keep their order', async () => {
  const [a, b] = [await startPeer('a'), await startPeer('b')];
  const texts = Array.from({length: 100}, (_, index) => `text ${index}`);
  texts.forEach(text => a.transport.send(b.address, {text}));
  await waitFor(() => b.received.length === texts.length);
  assert.equal(
    b.received.map(({text}) => text),
    texts,
  );
});

exchange('over the bound the oldest hints go, never a request', async () => {
  // A node's memory grows without bound while a peer is slow to connect.
  // Hints and a request are queued before the connection is open.
  const [a, b] = [
    await startPeer('a', {maxQueuedMessages: 5}),
    await startPeer('b'),
  ];
  const reply = a.transport.request(b.address, {text: 'request'});
  Array.from({length: 10}, (_, index) =>
    a.transport.send(b.address, {text: `hint ${index}`}),
  );
  assert.is((await reply).text, 'b got request');
  await waitFor(() => b.received.length === 5);
  assert.equal(
    b.received.map(({text}) => text),
    ['request', 'hint 6', 'hint 7', 'hint 8', 'hint 9'],
  );
  assert.is(a.transport.counters.messagesDropped, 6);
});

exchange('connections stay within the bound', async () => {
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

exchange('an unused connection is closed', async () => {
  const a = await startPeer('a', {idleTimeoutMs: 20});
  const b = await startPeer('b');
  await a.transport.request(b.address, {text: 'hello'});
  await waitFor(() => a.transport.connectionCount === 0);
  await waitFor(() => b.transport.connectionCount === 0);
});

exchange('the error of a handler comes back with its kind', async () => {
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
