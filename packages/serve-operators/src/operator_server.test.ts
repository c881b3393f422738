import {waitUntil} from '@mimosatack/fakes';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type NodeView} from './index.js';
import {
  ADMIN,
  type ApiResponse,
  MAX_BODY_BYTES,
  createFixture,
  createFixtureWithTeams,
} from './testing_fixture.js';

const operation = suite('operators: operation');

function makeNode(nodeName: string, nextOffset: number | null): NodeView {
  return {
    nodeName,
    incarnation: `${nodeName}.x`,
    status: 'alive',
    failureDomain: 'slupsk',
    callerBaseUrl: '',
    adminBaseUrl: '',
    release: '0.1.0',
    nextOffset,
  };
}

// Guards against a change reported as in force while a node still lags.
operation('in-force lists the nodes that lack a change', async () => {
  const {request, put, nodes, nextOffsets, close} =
    await createFixtureWithTeams();
  nodes.push(makeNode('entry-1', 0), makeNode('entry-2', 0));
  nodes.push({...makeNode('entry-3', 0), status: 'gone'});
  nextOffsets.set('entry-2', 1);
  const change = await put('teams/aurora', {});
  const url = `/admin/v1/in-force?sequence=${String(change.body['sequence'])}`;
  const before = await request('GET', url);
  assert.is(before.body['isInForceEverywhere'], false);
  assert.equal(before.body['missingNodes'], ['entry-2']);
  const waiting = request('GET', `${url}&waitMs=20000`);
  nextOffsets.set('entry-2', 100);
  assert.is((await waiting).body['isInForceEverywhere'], true);
  const unknown = await request('GET', '/admin/v1/in-force?sequence=99');
  assert.is(unknown.body.error?.kind, 'not-found');
  await close();
});

operation('a backend server is drained and resumed', async () => {
  const {request, submit, close} = await createFixtureWithTeams();
  await submit({
    type: 'register-backend-server',
    backendServerId: 'lm-pool-1',
    hostId: 'lm-pool-1',
    baseUrl: 'http://127.0.0.1:1',
    pool: 'lm-pool',
    failureDomain: 'slupsk',
    region: 'pomorze',
    fencing: 'ignores',
    accelerators: 1,
    memoryMib: 1,
  });
  const url = '/admin/v1/backend-servers';
  const read = async () =>
    (await request('GET', url)).body.items?.[0]?.['isDraining'];
  const drain = `${url}/lm-pool-1/drain`;
  assert.is((await request('POST', drain, {reason: 'fan'})).status, 200);
  assert.is(await read(), true);
  assert.is((await request('POST', drain)).body.error?.kind, 'conflict');
  await request('POST', drain, {isDraining: false});
  assert.is(await read(), false);
  const unknown = await request('POST', `${url}/lm-pool-9/drain`);
  assert.is(unknown.body.error?.kind, 'not-found');
  await close();
});

// Guards against reads that fail, or an audit trail that claims to be complete,
// while the log service is down.
operation('reads work during a log outage', async () => {
  const {request, put, log, follower, close} = await createFixtureWithTeams();
  assert.is((await request('GET', '/readyz')).status, 200);
  log.setDown(true);
  await waitUntil('the outage', () => !follower.status.isLogReachable);
  const refused = await put('teams/aurora', {});
  assert.is(refused.status, 503);
  assert.is(refused.body.error?.kind, 'log-unavailable');
  assert.is((await request('GET', '/admin/v1/teams')).status, 200);
  const trail = await request('GET', '/admin/v1/audit?kind=team');
  assert.is(trail.body.items?.length, 2);
  assert.is(trail.body['isComplete'], false);
  assert.is((await request('GET', '/readyz')).status, 503);
  assert.is((await request('GET', '/healthz')).status, 200);
  await close();
});

operation('a team sees only its own entries in the audit trail', async () => {
  const {request, close} = await createFixtureWithTeams();
  const ids = async (token: string) =>
    (await request('GET', '/admin/v1/audit', undefined, token)).body.items?.map(
      item => item['id'],
    );
  assert.equal(await ids('p-sam'), ['alert-writer', 'prairie']);
  assert.equal(await ids('z-ola'), ['sky', 'alert-writer', 'zorza']);
  await close();
});

operation.run();

const input = suite('operators: bad input');

// Guards against malformed requests that crash the process, change the state or
// get an untyped error.
input('malformed input is rejected and changes nothing', async () => {
  const {request, follower, close} = await createFixtureWithTeams();
  const {sequence} = follower.state;
  const url = '/admin/v1/teams/aurora';
  const json = {'content-type': 'application/json'};
  const deep = `${'{"a":'.repeat(5_000)}1${'}'.repeat(5_000)}`;
  const cases: [string, Promise<ApiResponse>][] = [
    ['bad-request', request('PUT', url, '{', ADMIN, json)],
    ['bad-request', request('PUT', url, '[]', ADMIN, json)],
    ['bad-request', request('PUT', url, {content: {}})],
    ['bad-request', request('PUT', url, {content: {}, expectedVersion: -1})],
    [
      'bad-request',
      request('PUT', url, {content: {}, expectedVersion: 0, x: 1}),
    ],
    [
      'bad-request',
      request('PUT', `${url}%20b`, {content: {}, expectedVersion: 0}),
    ],
    ['bad-request', request('GET', '/admin/v1/teams/%zz')],
    ['bad-request', request('GET', '/admin/v1/teams?limit=0')],
    ['bad-request', request('GET', '/admin/v1/audit?kind=moon')],
    ['bad-request', request('GET', '/admin/v1/audit?from=yesterday')],
    ['bad-request', request('GET', '/admin/v1/in-force')],
    [
      'bad-request',
      request('PUT', url, 'text', ADMIN, {'content-type': 'text/x'}),
    ],
    ['not-found', request('GET', '/admin/v1/moons')],
    ['not-found', request('DELETE', `${url}?expectedVersion=0`)],
    [
      'body-too-large',
      request('PUT', url, 'x'.repeat(MAX_BODY_BYTES + 1), ADMIN, json),
    ],
    [
      'bad-request',
      request(
        'PUT',
        url,
        `{"expectedVersion":0,"content":${deep}}`,
        ADMIN,
        json,
      ),
    ],
  ];
  const responses = await Promise.all(cases.map(([, response]) => response));
  responses.forEach(({body, headers}, index) => {
    assert.is(body.error?.kind, cases[index]?.[0], JSON.stringify(body));
    assert.ok(body.error?.remedy);
    assert.is(headers['x-request-id'], 'made-up-id');
    assert.not.match(JSON.stringify(body), /\.js|\bat /);
  });
  assert.is(follower.state.configuration.currentVersion('team', 'aurora'), 0);
  assert.ok(follower.state.sequence <= sequence + 1);
  await close();
});

input('a well-formed request id is preserved', async () => {
  const {request, close} = await createFixture();
  const send = async (id: string) =>
    (await request('GET', '/healthz', undefined, ADMIN, {'x-request-id': id}))
      .headers['x-request-id'];
  assert.is(await send('trace-7'), 'trace-7');
  assert.is(await send('not well formed'), 'made-up-id');
  await close();
});

input.run();
