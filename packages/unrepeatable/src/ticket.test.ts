import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {TicketSigner, hashKey} from './index.js';

const test = suite('tickets');
const mint = new TicketSigner('a secret of the cluster');

test('a key contains its process and generation', () => {
  const key = `${mint.makePrefix('node-1.ab12', 7)}order~17`;
  assert.equal(mint.read(key), {
    status: 'ticket',
    ticket: {incarnation: 'node-1.ab12', generation: 7, suffix: 'order~17'},
  });
});

test('a key with a changed generation, process or secret is forged', () => {
  // Guards against a caller that raises the generation of an old key to run it
  // again.
  const key = `${mint.makePrefix('node-1', 7)}17`;
  const foreignPrefix = new TicketSigner('another secret').makePrefix(
    'node-1',
    7,
  );
  [
    key.replace('~7~', '~8~'),
    key.replace('~7~', '~07~'),
    key.replace('node-1', 'node-2'),
    `${foreignPrefix}17`,
    mint.makePrefix('node-1', 7),
    't1~',
    't1~node-1~7~~17',
  ].forEach(forged => assert.is(mint.read(forged).status, 'forged', forged));
  assert.is(mint.read('order-17').status, 'not-a-ticket');
});

test('two teams never share a key', () => {
  assert.is.not(hashKey('pantry', 'k1'), hashKey('zorza', 'k1'));
});

test.run();
