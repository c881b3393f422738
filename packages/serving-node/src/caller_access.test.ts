import {hashToken} from '@mimosatack/authenticate';
import {TypedError} from '@mimosatack/errors';
import {MemoryEventLogger} from '@mimosatack/logger';
import {type ServiceRoute, type TeamSpec} from '@mimosatack/types';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {CallerAccess} from './caller_access.js';

const test = suite('caller access');

const KEY = 'key-of-link';
const TEAM: TeamSpec = {
  ...{team: 'link', keyHashes: [hashToken(KEY)], priority: 2, quota: null},
};
const ROUTE: ServiceRoute = {
  ...{name: 'a', host: 'h', pathPrefix: '/a/', kind: 'idempotent'},
  ...{timeoutMs: 1_000, targetLatencyMs: 100, targetGapMs: null},
  ...{priority: 0, maxAttempts: 1, traffic: [], hasSessionAffinity: false},
  ...{isResumable: false, isPublic: false},
};

function startAccess(revokeMs: number | null = 5_000) {
  const logger = new MemoryEventLogger();
  const state = {ageMs: 100};
  const access = new CallerAccess({
    logger,
    configurationAgeMs: () => state.ageMs,
    revokeMs: () => revokeMs,
    applyMs: () => 2_000,
  });
  access.configure(7, [TEAM]);
  const check = (keys: readonly string[], isPublic = false) => {
    const route = {...ROUTE, isPublic};
    const found = access.check(
      {requestId: 'r1', keyHashes: keys.map(hashToken)},
      route,
    );
    return found instanceof TypedError
      ? found.kind
      : (found.team?.team ?? 'nobody');
  };
  return {access, logger, state, check};
}

test('a known key identifies its team, other keys are refused', () => {
  const {check, logger} = startAccess();
  assert.is(check([KEY]), 'link');
  assert.is(check(['other']), 'unauthorized');
  assert.is(check([]), 'unauthorized');
  assert.is(check(['other'], true), 'nobody');
  const [line] = logger.fieldsOf('key-refused');
  assert.is(line?.['configurationVersion'], 7);
  assert.is(line?.['configurationAgeMs'], 100);
});

// Guards against accepting a revoked key on a node with an old configuration.
test('an old configuration neither accepts keys nor calls them unknown', () => {
  const {access, check, state} = startAccess();
  state.ageMs = 3_501;
  assert.not(access.isConfirmed);
  assert.is(check([KEY]), 'platform-unavailable');
  assert.is(check(['other']), 'platform-unavailable');
  assert.is(check([], true), 'nobody');
  state.ageMs = 3_499;
  assert.is(check([KEY]), 'link');
});

// Guards against a final refusal of a key that a newer configuration may hold.
test('a key is not called unknown by a configuration that may be outdated', () => {
  const {check, state} = startAccess(null);
  state.ageMs = 2_001;
  assert.is(check(['other']), 'platform-unavailable');
  assert.is(check([KEY]), 'link');
  state.ageMs = 2_000;
  assert.is(check(['other']), 'unauthorized');
});

test('without a revocation limit or without keys, any age is accepted', () => {
  const unbounded = startAccess(null);
  unbounded.state.ageMs = Infinity;
  assert.is(unbounded.check([KEY]), 'link');
  const keyless = startAccess();
  keyless.state.ageMs = Infinity;
  keyless.access.configure(8, null);
  assert.ok(keyless.access.isConfirmed);
  assert.is(keyless.check([]), 'nobody');
});

test.run();
