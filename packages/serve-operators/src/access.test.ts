import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
  type Method,
  PARAMETERS,
  TEMPLATE,
  createFixtureWithTeams,
  hashToken,
  makeTokens,
} from './testing_fixture.js';

const access = suite('operators: access');

access('each role permits only the actions in its table', async () => {
  const {request, put, close} = await createFixtureWithTeams();
  const status = async (token: string, method: Method, url: string) =>
    (await request(method, url, method === 'GET' ? undefined : {}, token))
      .status;
  assert.is(await status('nobody', 'GET', '/admin/v1/status'), 401);
  assert.is(await status('z-app', 'GET', '/admin/v1/status'), 403);
  assert.is(await status('z-ola', 'GET', '/admin/v1/status'), 200);
  const model = {pool: 'lm-pool', version: 'v2', memoryMib: 1};
  const options = {expectedVersion: 1, token: 'z-ola'};
  assert.is((await put('models/alert-writer', model, options)).status, 403);
  const drain = '/admin/v1/backend-servers/r/drain';
  assert.is(await status('z-ola', 'POST', drain), 403);
  await close();
});

// Guards against privilege escalation: an operator who publishes an admin token
// in the document of their own team.
access('an operator can publish no token', async () => {
  const {request, put, close} = await createFixtureWithTeams();
  const content = {tokens: makeTokens(['mine', 'admin'])};
  const response = await put('teams/zorza', content, {
    expectedVersion: 1,
    token: 'z-ola',
  });
  assert.is(response.body.error?.kind, 'forbidden');
  assert.match(response.body.error?.remedy ?? '', /role admin/);
  const denied = await request('GET', '/admin/v1/status', undefined, 'mine');
  assert.is(denied.status, 401);
  await close();
});

access("another team's documents do not seem to exist", async () => {
  const {request, put, close} = await createFixtureWithTeams();
  const foreign = await request(
    'GET',
    '/admin/v1/templates/sky',
    undefined,
    'p-sam',
  );
  const missing = await request(
    'GET',
    '/admin/v1/templates/sea',
    undefined,
    'p-sam',
  );
  assert.is(foreign.status, 404);
  assert.equal(
    JSON.stringify(foreign.body).replace('sky', 'sea'),
    JSON.stringify(missing.body),
  );
  const list = await request('GET', '/admin/v1/templates', undefined, 'p-sam');
  assert.equal(list.body.items, []);
  const ownTemplate = {...TEMPLATE, team: 'prairie'};
  const rejectedUpdate = await put('templates/sky', ownTemplate, {
    expectedVersion: 1,
    token: 'p-sam',
  });
  assert.is(rejectedUpdate.body.error?.kind, 'not-found');
  const removed = await request(
    'DELETE',
    '/admin/v1/templates/sky?expectedVersion=1',
    undefined,
    'p-sam',
  );
  assert.is(removed.body.error?.kind, 'not-found');
  await close();
});

// Guards against an error message that reveals whether another team has a
// template with the given id.
access("an event can't reveal another team's template", async () => {
  const {put, close} = await createFixtureWithTeams();
  const refuse = async (template: string) => {
    const content = {team: 'prairie', template, parameters: PARAMETERS};
    const response = await put('events/e', content, {token: 'p-sam'});
    return JSON.stringify(response.body).replace(template, '');
  };
  assert.is(await refuse('sky'), await refuse('sea'));
  await close();
});

// Guards against an ownership check on an outdated document, on a node that has
// not folded the version named in the request.
access('ownership is checked in the version named in the request', async () => {
  const {put, close} = await createFixtureWithTeams();
  const early = {expectedVersion: 1, token: 'z-ola'};
  const waiting = put('templates/sea', TEMPLATE, early);
  await put('templates/sea', TEMPLATE);
  assert.is((await waiting).status, 200);
  const ownTemplate = {...TEMPLATE, team: 'prairie'};
  const unknownVersion = {expectedVersion: 7, token: 'p-sam'};
  const refused = await put('templates/bay', ownTemplate, unknownVersion);
  assert.is(refused.body.error?.kind, 'conflict');
  await close();
});

access('hashes are shown to admins only', async () => {
  const {request, close} = await createFixtureWithTeams();
  const url = '/admin/v1/teams/zorza';
  const operatorView = await request('GET', url, undefined, 'z-ola');
  assert.not.match(JSON.stringify(operatorView.body), hashToken('z-ola'));
  const adminView = await request('GET', url);
  assert.match(JSON.stringify(adminView.body), hashToken('z-ola'));
  await close();
});

access.run();
