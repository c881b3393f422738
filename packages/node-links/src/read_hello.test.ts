import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {TestNode} from './confirmation_fixture.js';
import {type HelloStatus} from './messages.js';
import {readHello} from './read_hello.js';

const test = suite('fields of a heartbeat that are for one process');

const PROMISE = {token: 5, beatMs: 1_500, forMs: 1_500};
const QUOTAS = {reportId: 7, answeredId: 6, spent: []};
const CRASHES = {facts: [], sequence: 3, knownSequence: 9};

function makeStatus(): HelloStatus {
  const {status} = new TestNode('n.1').hello('h');
  const addressed = {promise: PROMISE, quotas: QUOTAS, crashes: CRASHES};
  return {...status, ...addressed, configurationAsOfBeatMs: 70_000};
}

test('the process that is named reads all of it', () => {
  const status = makeStatus();
  assert.equal(readHello({to: 'h', status}, 'h'), status);
});

// Guards against grants, reports and clock readings for a process that has ended, which its
// successor at the same address takes for its own.
test('another process reads only what the sender says of itself and of servers', () => {
  const status = makeStatus();
  assert.equal(readHello({to: 'h', status}, 'h.2'), {
    ...{...status, promise: null, quotas: null},
    configurationAsOfBeatMs: null,
  });
});

// Guards against a lease that ends during a rolling update, as grants are left out.
test('grants and reports of the previous release are read, times are not', () => {
  const status = makeStatus();
  assert.equal(readHello({to: null, status}, 'h'), {
    ...{...status, configurationAsOfBeatMs: null},
  });
});

test.run();
