import {ManualClock} from '@mimosatack/clock';
import {ServerLimiter} from '@mimosatack/share-limits';
import {makeEngineEntry} from '@mimosatack/fakes';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type ToHolderMessage} from './messages.js';
import {PermitClient} from './permit_client.js';

const test = suite('permits for limited servers');

const SERVER = makeEngineEntry('e1');

function makeClient({hasHolder}: {hasHolder: boolean}) {
  const clock = new ManualClock();
  const sent: ToHolderMessage[] = [];
  const client = new PermitClient({
    ...{clock, askIdPrefix: 'n1'},
    sendToHolder: message => {
      if (hasHolder) sent.push(message);
      return hasHolder;
    },
    limiter: new ServerLimiter({findLimit: () => 4, findShare: () => 0.25}),
  });
  const answer = (waitMs: number) => {
    const message = sent.shift();
    assert.is(message?.type, 'permit');
    if (message?.type !== 'permit') return;
    client.settle({type: 'permitted', askId: message.askId, waitMs});
  };
  return {clock, sent, client, answer};
}

test('the scheduling node decides', async () => {
  const {client, answer} = makeClient({hasHolder: true});
  const first = client.request(SERVER, 0);
  answer(0);
  assert.is(await first, 0);
  const second = client.request(SERVER, 5_000);
  answer(700);
  assert.is(await second, 700);
});

// Guards against a message to the scheduling node for each request.
test('a denied server is not asked for again until it has room', async () => {
  const {clock, client, sent, answer} = makeClient({hasHolder: true});
  const first = client.request(SERVER, 0);
  answer(700);
  await first;
  clock.advance(300);
  assert.is(await client.request(SERVER, 0), 400);
  assert.is(sent.length, 0);
  clock.advance(400);
  void client.request(SERVER, 0);
  assert.is(sent.length, 1);
});

// Guards against limited servers that get nothing, or all, while no node schedules.
test('without a scheduling node the host spends its own share', async () => {
  const {clock, client} = makeClient({hasHolder: false});
  assert.is(await client.request(SERVER, 5_000), 1_000);
  clock.advance(1_000);
  assert.is(await client.request(SERVER, 5_000), 0);
  assert.ok((await client.request(SERVER, 5_000)) > 0);
});

// Guards against hosts that each begin with a place when the scheduling node is lost.
test('a share that was not spent is not saved up', async () => {
  const {clock, client} = makeClient({hasHolder: false});
  await client.request(SERVER, 0);
  clock.advance(60_000);
  client.handleHolderLost();
  assert.is(await client.request(SERVER, 5_000), 1_000);
});

test('a scheduling node that does not answer is not waited for', async () => {
  const {clock, client} = makeClient({hasHolder: true});
  const waiting = client.request(SERVER, 0);
  clock.advance(1_000);
  assert.is(await waiting, 1_000);
});

test('a scheduling node that is lost is not waited for', async () => {
  const {client} = makeClient({hasHolder: true});
  const waiting = client.request(SERVER, 0);
  client.handleHolderLost();
  assert.is(await waiting, 1_000);
});

// Guards against places that a busy scheduling node grants in vain.
test('a place that is granted after a while is used', async () => {
  const {clock, client, answer} = makeClient({hasHolder: true});
  const waiting = client.request(SERVER, 0);
  clock.advance(600);
  answer(0);
  assert.is(await waiting, 0);
});

test.run();
