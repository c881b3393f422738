/** Guards against resends that look different and requests that look equal. */
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {makeFingerprint} from './fingerprint.js';
import {makeRequest} from './test_fixtures.js';

const test = suite('fingerprints of requests');

const bytes = (text: string) => new TextEncoder().encode(text);
const known = makeRequest({method: 'POST', path: '/a', body: bytes('b')});

test('a resend with another id, time or stream position is equal', () => {
  const again = {...known, requestId: 'r2', receivedAtMs: 9, lastEventId: 4};
  assert.is(makeFingerprint(again), makeFingerprint(known));
  assert.match(makeFingerprint(known), /^[0-9a-f]{32}$/);
});

test('requests with another host, method, path or body differ', () => {
  const others = [
    {...known, host: 'other.example'},
    {...known, method: 'PUT'},
    {...known, path: '/a?'},
    {...known, body: bytes('c')},
    // The concatenation of path and body is the same as that of `known`.
    {...known, path: '/', body: bytes('ab')},
  ];
  const prints = [known, ...others].map(makeFingerprint);
  assert.is(new Set(prints).size, prints.length);
});

test.run();
