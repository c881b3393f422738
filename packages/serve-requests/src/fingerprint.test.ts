/** Which requests count as the same. */
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {makeFingerprint} from './fingerprint.js';
import {makeRequest} from './test_fixtures.js';

const test = suite('fingerprints of requests');

const bytes = (text: string) => new TextEncoder().encode(text);
const known = makeRequest({method: 'POST', path: '/a', body: bytes('b')});

test('the same under another id, later and further on in a stream', () => {
  const again = {...known, requestId: 'r2', receivedAtMs: 9, lastEventId: 4};
  assert.is(makeFingerprint(again), makeFingerprint(known));
  assert.match(makeFingerprint(known), /^[0-9a-f]{32}$/);
});

test('another host, method, path or body is another request', () => {
  const others = [
    {...known, host: 'other.example'},
    {...known, method: 'PUT'},
    {...known, path: '/a?'},
    {...known, body: bytes('c')},
    // What follows the path must not read as a part of it.
    {...known, path: '/', body: bytes('ab')},
  ];
  const prints = [known, ...others].map(makeFingerprint);
  assert.is(new Set(prints).size, prints.length);
});

test.run();
