/** Guards against noticing late that the holder's process is gone. */
import {ManualClock} from '@mimosatack/clock';
import {TypedError} from '@mimosatack/errors';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {HolderContacts} from './holder_contacts.js';

const test = suite('contact with the holder');

const HOLDER = {
  ...{nodeName: 'n1', incarnation: 'n1.1'},
  ...{address: '127.0.0.1:1', token: 1},
};

function makeUnreachableError(cause: Error): TypedError {
  return new TypedError('peer-unreachable', 'The peer is away.', {cause});
}

// Guards against a wait for the silence of a holder whose connection another message tried
// to open a moment before.
test('a holder is gone once its address refused a connection to any message', () => {
  const contacts = new HolderContacts(new ManualClock());
  assert.is(contacts.find(HOLDER), 'alive');
  const refused = Object.assign(new Error('refused'), {code: 'ECONNREFUSED'});
  const duringBackoff = makeUnreachableError(makeUnreachableError(refused));
  contacts.noteFailure(HOLDER, duringBackoff.withRun('not-run'));
  assert.is(contacts.find(HOLDER), 'gone');
  contacts.noteHeard(HOLDER);
  assert.is(contacts.find(HOLDER), 'alive');
});

test('a holder whose connection closed or timed out is not gone', () => {
  const clock = new ManualClock();
  const contacts = new HolderContacts(clock);
  contacts.noteFailure(HOLDER, makeUnreachableError(new Error('closed')));
  assert.is(contacts.find(HOLDER), 'alive');
  clock.advance(800);
  assert.is(contacts.find(HOLDER), 'silent');
});

test.run();
