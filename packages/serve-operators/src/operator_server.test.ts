import {waitUntil} from '@mimosatack/fakes';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type NodeView} from './index.js';
import {
  ADMIN,
  type Answer,
  MAX_BODY_BYTES,
  createFixture,
  createTeams,
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

/**
 * A change is accepted by one node while another is cut off. The operator
 * asks whether it is in force and must be told which node still lacks it,
 * and that it is everywhere once that node has caught up.
 */
operation('in force names the nodes that lack a change', async () => {
  const {ask, put, nodes, answers, close} = await createTeams();
  nodes.push(makeNode('entry-1', 0), makeNode('entry-2', 0));
  nodes.push({...makeNode('entry-3', 0), status: 'gone'});
  answers.set('entry-2', 1);
  const change = await put('teams/aurora', {});
  const url = `/admin/v1/in-force?sequence=${String(change.body['sequence'])}`;
  const before = await ask('GET', url);
  assert.is(before.body['isInForceEverywhere'], false);
  assert.equal(before.body['missingNodes'], ['entry-2']);
  const waiting = ask('GET', `${url}&waitMs=20000`);
  answers.set('entry-2', 100);
  assert.is((await waiting).body['isInForceEverywhere'], true);
  const unknown = await ask('GET', '/admin/v1/in-force?sequence=99');
  assert.is(unknown.body.error?.kind, 'not-found');
  await close();
});

operation('a backend server is drained and given work again', async () => {
  const {ask, submit, close} = await createTeams();
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
    (await ask('GET', url)).body.items?.[0]?.['isDraining'];
  const drain = `${url}/lm-pool-1/drain`;
  assert.is((await ask('POST', drain, {reason: 'fan'})).status, 200);
  assert.is(await read(), true);
  assert.is((await ask('POST', drain)).body.error?.kind, 'conflict');
  await ask('POST', drain, {isDraining: false});
  assert.is(await read(), false);
  const unknown = await ask('POST', `${url}/lm-pool-9/drain`);
  assert.is(unknown.body.error?.kind, 'not-found');
  await close();
});

/**
 * The log service is down. A change must be refused in time with a kind that
 * says so, reading goes on, and the audit trail says that it is not complete.
 */
operation('with the log down reading goes on and says so', async () => {
  const {ask, put, log, follower, close} = await createTeams();
  assert.is((await ask('GET', '/readyz')).status, 200);
  log.setDown(true);
  await waitUntil('the outage', () => !follower.status.isLogReachable);
  const refused = await put('teams/aurora', {});
  assert.is(refused.status, 503);
  assert.is(refused.body.error?.kind, 'log-unavailable');
  assert.is((await ask('GET', '/admin/v1/teams')).status, 200);
  const trail = await ask('GET', '/admin/v1/audit?kind=team');
  assert.is(trail.body.items?.length, 2);
  assert.is(trail.body['isComplete'], false);
  assert.is((await ask('GET', '/readyz')).status, 503);
  assert.is((await ask('GET', '/healthz')).status, 200);
  await close();
});

operation('the audit trail shows a team what is its own', async () => {
  const {ask, close} = await createTeams();
  const ids = async (token: string) =>
    (await ask('GET', '/admin/v1/audit', undefined, token)).body.items?.map(
      item => item['id'],
    );
  assert.equal(await ids('p-sam'), ['alert-writer', 'prairie']);
  assert.equal(await ids('z-ola'), ['sky', 'alert-writer', 'zorza']);
  await close();
});

operation.run();

const input = suite('operators: bad input');

/**
 * A client sends things no operator means to send. Each must get a typed
 * refusal with a remedy, change nothing and leave the process as it was.
 */
input('bad input is refused with a kind and changes nothing', async () => {
  const {ask, follower, close} = await createTeams();
  const {sequence} = follower.state;
  const url = '/admin/v1/teams/aurora';
  const json = {'content-type': 'application/json'};
  const deep = `${'{"a":'.repeat(5_000)}1${'}'.repeat(5_000)}`;
  const cases: [string, Promise<Answer>][] = [
    ['bad-request', ask('PUT', url, '{', ADMIN, json)],
    ['bad-request', ask('PUT', url, '[]', ADMIN, json)],
    ['bad-request', ask('PUT', url, {content: {}})],
    ['bad-request', ask('PUT', url, {content: {}, expectedVersion: -1})],
    ['bad-request', ask('PUT', url, {content: {}, expectedVersion: 0, x: 1})],
    [
      'bad-request',
      ask('PUT', `${url}%20b`, {content: {}, expectedVersion: 0}),
    ],
    ['bad-request', ask('GET', '/admin/v1/teams/%zz')],
    ['bad-request', ask('GET', '/admin/v1/teams?limit=0')],
    ['bad-request', ask('GET', '/admin/v1/audit?kind=moon')],
    ['bad-request', ask('GET', '/admin/v1/audit?from=yesterday')],
    ['bad-request', ask('GET', '/admin/v1/in-force')],
    ['bad-request', ask('PUT', url, 'text', ADMIN, {'content-type': 'text/x'})],
    ['not-found', ask('GET', '/admin/v1/moons')],
    ['not-found', ask('DELETE', `${url}?expectedVersion=0`)],
    [
      'body-too-large',
      ask('PUT', url, 'x'.repeat(MAX_BODY_BYTES + 1), ADMIN, json),
    ],
    [
      'bad-request',
      ask('PUT', url, `{"expectedVersion":0,"content":${deep}}`, ADMIN, json),
    ],
  ];
  const answers = await Promise.all(cases.map(([, answer]) => answer));
  answers.forEach(({body, headers}, index) => {
    assert.is(body.error?.kind, cases[index]?.[0], JSON.stringify(body));
    assert.ok(body.error?.remedy);
    assert.is(headers['x-request-id'], 'made-up-id');
    assert.not.match(JSON.stringify(body), /\.js|\bat /);
  });
  assert.is(follower.state.configuration.currentVersion('team', 'aurora'), 0);
  assert.ok(follower.state.sequence <= sequence + 1);
  await close();
});

input('a request keeps its own id when it is well formed', async () => {
  const {ask, close} = await createFixture();
  const send = async (id: string) =>
    (await ask('GET', '/healthz', undefined, ADMIN, {'x-request-id': id}))
      .headers['x-request-id'];
  assert.is(await send('trace-7'), 'trace-7');
  assert.is(await send('not well formed'), 'made-up-id');
  await close();
});

input.run();
