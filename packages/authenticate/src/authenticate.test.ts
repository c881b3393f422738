import {readFileSync} from 'node:fs';
import {AgreedState, type TokenRole} from '@mimosatack/agreed-state';
import {TypedError} from '@mimosatack/errors';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
  authenticateCaller,
  authenticateOperator,
  formatPermissionsAsMarkdown,
  hashToken,
} from './index.js';

const BOOTSTRAP = hashToken('bootstrap-token');

function createFixture() {
  const state = new AgreedState();
  const publish = (tokens: {name: string; role: TokenRole; token: string}[]) =>
    state.configuration.put(
      {
        type: 'put-document',
        kind: 'team',
        id: 'zorza',
        expectedVersion: state.configuration.currentVersion('team', 'zorza'),
        content: {
          tokens: tokens.map(({name, role, token}) => ({
            name,
            role,
            tokenHash: hashToken(token),
          })),
        },
      },
      1,
    );
  const authenticateAs = (token: string) =>
    authenticateOperator(`Bearer ${token}`, state, BOOTSTRAP);
  return {state, publish, authenticateAs};
}

function catchErrorKind(action: () => unknown): string {
  try {
    action();
  } catch (thrown) {
    if (thrown instanceof TypedError) return thrown.kind;
  }
  return 'none';
}

const tokens = suite('authenticate');

tokens('a token identifies its team, name and role', () => {
  const {state, publish, authenticateAs} = createFixture();
  publish([
    {name: 'app', role: 'caller', token: 'caller-token'},
    {name: 'ola', role: 'operator', token: 'operator-token'},
    {name: 'root', role: 'admin', token: 'admin-token'},
  ]);
  assert.equal(authenticateCaller('Bearer caller-token', state), {
    team: 'zorza',
    tokenName: 'app',
    role: 'caller',
  });
  assert.equal(authenticateAs('operator-token'), {
    operatorName: 'zorza/ola',
    role: 'operator',
    team: 'zorza',
  });
  assert.is(authenticateAs('admin-token').team, null);
  assert.is(authenticateAs('bootstrap-token').operatorName, 'bootstrap');
});

tokens('a missing, unknown or unprivileged token is rejected', () => {
  const {state, publish, authenticateAs} = createFixture();
  publish([{name: 'app', role: 'caller', token: 'caller-token'}]);
  assert.is(
    catchErrorKind(() => authenticateCaller(undefined, state)),
    'unauthorized',
  );
  assert.is(
    catchErrorKind(() => authenticateCaller('Basic x', state)),
    'unauthorized',
  );
  assert.is(
    catchErrorKind(() => authenticateAs('another')),
    'unauthorized',
  );
  assert.is(
    catchErrorKind(() => authenticateAs('caller-token')),
    'forbidden',
  );
});

tokens('an empty bootstrap hash authenticates no token', () => {
  const {state} = createFixture();
  assert.is(
    catchErrorKind(() => authenticateOperator('Bearer x', state, '')),
    'unauthorized',
  );
});

// Guards against a stale token index that still accepts a removed token.
tokens('a removed token stops working with the change that removes it', () => {
  const {publish, authenticateAs} = createFixture();
  publish([{name: 'ola', role: 'operator', token: 'leaked'}]);
  assert.is(authenticateAs('leaked').team, 'zorza');
  publish([{name: 'ola', role: 'operator', token: 'fresh'}]);
  assert.is(
    catchErrorKind(() => authenticateAs('leaked')),
    'unauthorized',
  );
  assert.is(authenticateAs('fresh').team, 'zorza');
});

tokens('docs/operators/roles.md contains the permission table', () => {
  const page = new URL('../../../docs/operators/roles.md', import.meta.url);
  assert.ok(
    readFileSync(page, 'utf8').includes(formatPermissionsAsMarkdown()),
    'copy the table of formatPermissionsAsMarkdown() into the page',
  );
});

tokens.run();
