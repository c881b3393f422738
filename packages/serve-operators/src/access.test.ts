import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
  type Method,
  PARAMETERS,
  TEMPLATE,
  createTeams,
  hash,
  toTokens,
} from './testing_fixture.js';

const access = suite('operators: access');

access('roles open what the table says and nothing else', async () => {
  const {ask, put, close} = await createTeams();
  const status = async (token: string, method: Method, url: string) =>
    (await ask(method, url, method === 'GET' ? undefined : {}, token)).status;
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

/**
 * An operator publishes the own team's document with a second token of role
 * admin, and from then on acts for all teams.
 */
access('an operator can publish no token', async () => {
  const {ask, put, close} = await createTeams();
  const content = {tokens: toTokens(['mine', 'admin'])};
  const answer = await put('teams/zorza', content, {
    expectedVersion: 1,
    token: 'z-ola',
  });
  assert.is(answer.body.error?.kind, 'forbidden');
  assert.match(answer.body.error?.remedy ?? '', /role admin/);
  const denied = await ask('GET', '/admin/v1/status', undefined, 'mine');
  assert.is(denied.status, 401);
  await close();
});

access("another team's documents do not seem to exist", async () => {
  const {ask, put, close} = await createTeams();
  const foreign = await ask(
    'GET',
    '/admin/v1/templates/sky',
    undefined,
    'p-sam',
  );
  const missing = await ask(
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
  const list = await ask('GET', '/admin/v1/templates', undefined, 'p-sam');
  assert.equal(list.body.items, []);
  const mine = {...TEMPLATE, team: 'prairie'};
  const taken = await put('templates/sky', mine, {
    expectedVersion: 1,
    token: 'p-sam',
  });
  assert.is(taken.body.error?.kind, 'not-found');
  const removed = await ask(
    'DELETE',
    '/admin/v1/templates/sky?expectedVersion=1',
    undefined,
    'p-sam',
  );
  assert.is(removed.body.error?.kind, 'not-found');
  await close();
});

/**
 * An operator names another team's template in an event of the own team. The
 * rules refuse it as "belongs to another team", which tells that it exists.
 */
access("an event can't find out another team's template", async () => {
  const {put, close} = await createTeams();
  const refuse = async (template: string) => {
    const content = {team: 'prairie', template, parameters: PARAMETERS};
    const answer = await put('events/e', content, {token: 'p-sam'});
    return JSON.stringify(answer.body).replace(template, '');
  };
  assert.is(await refuse('sky'), await refuse('sea'));
  await close();
});

/**
 * A node is behind: an operator names a version that it has not folded, in
 * which the document may have another owner. The change must wait until the
 * version is there, and be refused if it does not come.
 */
access('an owner is looked up in the version that is named', async () => {
  const {put, close} = await createTeams();
  const early = {expectedVersion: 1, token: 'z-ola'};
  const waiting = put('templates/sea', TEMPLATE, early);
  await put('templates/sea', TEMPLATE);
  assert.is((await waiting).status, 200);
  const mine = {...TEMPLATE, team: 'prairie'};
  const guess = {expectedVersion: 7, token: 'p-sam'};
  const refused = await put('templates/bay', mine, guess);
  assert.is(refused.body.error?.kind, 'conflict');
  await close();
});

access('hashes are shown to admins only', async () => {
  const {ask, close} = await createTeams();
  const url = '/admin/v1/teams/zorza';
  const shown = await ask('GET', url, undefined, 'z-ola');
  assert.not.match(JSON.stringify(shown.body), hash('z-ola'));
  const whole = await ask('GET', url);
  assert.match(JSON.stringify(whole.body), hash('z-ola'));
  await close();
});

access.run();
