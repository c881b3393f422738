import {Socket} from 'node:net';
import {createUnreachableError} from '@mimosatack/backend-connections';
import {ManualClock} from '@mimosatack/clock';
import {TypedError} from '@mimosatack/errors';
import {SeededRandom} from '@mimosatack/random';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {ServerDialer} from './server_dialer.js';
import {ServerPath} from './server_path.js';

const test = suite('connections of a host that reaches no server');

const ADDRESS = {ip: '10.0.0.1', port: 1};
const TERMS = {timeoutMs: 500, mustBeDirect: false};
const HELPERS = [
  {peerAddress: 'near', failureDomain: 'hall-a'},
  {peerAddress: 'far-1', failureDomain: 'hall-b'},
  {peerAddress: 'far-2', failureDomain: 'hall-b'},
];

type RelayResult = 'opened' | 'helper-failed' | 'server-unreachable';

async function createFixture(results: Record<string, RelayResult> = {}) {
  const clock = new ManualClock();
  const random = new SeededRandom(1);
  const asked: string[] = [];
  const path = new ServerPath({
    ...{clock, random, listServers: () => [ADDRESS]},
    tryConnect: () => Promise.resolve(false),
    onPathChange: () => undefined,
  });
  await path.recordFailure({...ADDRESS, port: 2});
  const dialer = new ServerDialer({
    ...{clock, random, path, ownDomain: 'hall-a'},
    openDirect: () => Promise.reject(createUnreachableError('Refused.')),
    openRelayed: ({peerAddress}) => {
      asked.push(peerAddress);
      const result = results[peerAddress] ?? 'opened';
      if (result === 'opened') return Promise.resolve(new Socket());
      return Promise.reject(
        result === 'server-unreachable'
          ? createUnreachableError('Unreachable from there.')
          : new TypedError('peer-unreachable', 'No answer.'),
      );
    },
    listHelpers: () => HELPERS,
  });
  return {clock, dialer, asked, path};
}

async function findErrorKind(dialed: Promise<unknown>): Promise<string> {
  try {
    await dialed;
    return 'none';
  } catch (thrown) {
    return (thrown as TypedError).kind;
  }
}

// Guards against refusing callers of a host that reaches other hosts.
test('a host that is cut off connects through one of another domain', async () => {
  const {dialer, asked, path} = await createFixture();
  const {relayedBy} = await dialer.connect(ADDRESS, TERMS);
  assert.is(relayedBy, asked[0]);
  assert.ok(path.isCutOff);
  assert.match(asked.join(), /^far-\d$/);
});

test('a helper that fails is replaced, and left out for a while', async () => {
  const {clock, dialer, asked} = await createFixture({
    'far-1': 'helper-failed',
    'far-2': 'helper-failed',
  });
  assert.is(
    await findErrorKind(dialer.connect(ADDRESS, TERMS)),
    'backend-unreachable',
  );
  assert.equal([...asked].sort(), ['far-1', 'far-2']);
  await dialer.connect(ADDRESS, TERMS);
  assert.is(asked.at(-1), 'near');
  clock.advance(2_001);
  await findErrorKind(dialer.connect(ADDRESS, TERMS));
  assert.match(asked.at(-1) ?? '', /far/);
});

test('a server that the helper can not reach is not tried through others', async () => {
  const {dialer, asked} = await createFixture({
    'far-1': 'server-unreachable',
    'far-2': 'server-unreachable',
  });
  assert.is(
    await findErrorKind(dialer.connect(ADDRESS, TERMS)),
    'backend-unreachable',
  );
  assert.is(asked.length, 1);
});

// Guards against orders to an engine that seem to come from another holder's host.
test('a call that must be direct is never relayed', async () => {
  const {dialer, asked} = await createFixture();
  const dialed = dialer.connect(ADDRESS, {...TERMS, mustBeDirect: true});
  assert.is(await findErrorKind(dialed), 'backend-unreachable');
  assert.equal(asked, []);
});

test.run();
