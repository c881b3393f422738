import {TypedError} from '@mimosatack/errors';
import {type TeamSpec} from '@mimosatack/types';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {TeamKeys, authenticateKey, hashToken} from './index.js';

const test = suite('keys of teams');

function makeTeam(team: string, keys: readonly string[]): TeamSpec {
  return {team, keyHashes: keys.map(hashToken), priority: null, quota: null};
}

const KEYS = new TeamKeys([
  makeTeam('link', ['one', 'two']),
  makeTeam('aurora', ['three']),
  makeTeam('keyless', []),
]);

function find(...keys: string[]): string {
  const found = authenticateKey(keys.map(hashToken), KEYS);
  return found instanceof TypedError ? found.summary : found.team;
}

test('each key identifies its team', () => {
  assert.equal(
    ['one', 'two', 'three'].map(key => find(key)),
    ['link', 'link', 'aurora'],
  );
});

test('a missing, unknown or repeated key is rejected with its reason', () => {
  assert.is(find(), 'The request carries no key.');
  assert.is(find('four'), 'The key is not known.');
  assert.is(find('one', 'one'), 'The request carries more than one key.');
});

// Guards against a key leaking into the log through an error message.
test('an error does not contain the key', () => {
  const found = authenticateKey([hashToken('secret-key')], KEYS);
  assert.not(JSON.stringify(found).includes('secret-key'));
});

test.run();
