import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
  PARAMETERS,
  TEMPLATE,
  createFixtureWithTeams,
} from './testing_fixture.js';

const documents = suite('operators: documents');

documents('lists are paginated', async () => {
  const {request, put, close} = await createFixtureWithTeams();
  await put('teams/aurora', {});
  const first = await request('GET', '/admin/v1/teams?limit=2');
  const cursor = String(first.body['nextCursor']);
  const second = await request(
    'GET',
    `/admin/v1/teams?limit=2&cursor=${cursor}`,
  );
  assert.equal(
    [...(first.body.items ?? []), ...(second.body.items ?? [])].map(
      item => item['id'],
    ),
    ['aurora', 'prairie', 'zorza'],
  );
  assert.is(second.body['nextCursor'], null);
  const wrong = await request('GET', '/admin/v1/teams?cursor=%21');
  assert.is(wrong.body.error?.kind, 'bad-request');
  await close();
});

// Guards against a lost update: two operators change version 1 concurrently.
documents('one of two concurrent changes gets a conflict', async () => {
  const {put, close} = await createFixtureWithTeams();
  const options = {expectedVersion: 1, token: 'z-ola'};
  const responses = await Promise.all([
    put('templates/sky', {...TEMPLATE, description: 'a'}, options),
    put('templates/sky', {...TEMPLATE, description: 'b'}, options),
  ]);
  const rejected = responses.find(response => response.status === 409);
  assert.equal(responses.map(response => response.status).sort(), [200, 409]);
  assert.is(rejected?.body.error?.info?.['currentVersion'], 2);
  await close();
});

documents('a dry run returns the event and writes nothing', async () => {
  const {request, follower, close} = await createFixtureWithTeams();
  const {sequence} = follower.state;
  const content = {team: 'zorza', template: 'sky', parameters: PARAMETERS};
  const url = '/admin/v1/events/tonight/validate';
  const good = await request('POST', url, {content}, 'z-ola');
  const event = good.body['resolvedEvent'] as {needs: {replicas: number}[]};
  assert.is(event.needs[0]?.replicas, 2);
  const parameters = {...PARAMETERS, replicas: 9, wind: 1};
  const bad = await request('POST', url, {content: {...content, parameters}});
  assert.is(bad.body['isAccepted'], false);
  assert.equal(bad.body['faults'], [
    'event tonight: parameters.wind: the template has no such parameter',
    'event tonight: parameters.replicas: give at most 4',
  ]);
  assert.is(follower.state.sequence, sequence);
  await close();
});

documents('a dry run of a template lists affected events', async () => {
  const {request, put, close} = await createFixtureWithTeams();
  const content = {team: 'zorza', template: 'sky', parameters: PARAMETERS};
  await put('events/tonight', content);
  const response = await request('POST', '/admin/v1/templates/sky/validate', {
    content: {...TEMPLATE, event: {...TEMPLATE.event, durationMinutes: 60}},
  });
  const [affected] = response.body['affectedEvents'] as {eventId: string}[];
  assert.is(affected?.eventId, 'tonight');
  await close();
});

documents('versions are listed from the audit trail', async () => {
  const {request, put, close} = await createFixtureWithTeams();
  const changed = {...TEMPLATE, description: 'wider'};
  await put('templates/sky', changed, {expectedVersion: 1, reason: 'wind'});
  const url = '/admin/v1/templates/sky/versions';
  const response = await request('GET', url, undefined, 'z-ola');
  assert.equal(
    response.body.items?.map(item => item['reason']),
    ['wind', 'test'],
  );
  assert.is((await request('GET', url, undefined, 'p-sam')).status, 404);
  await close();
});

documents.run();

const events = suite('operators: events');

events('an event is created, shown and cancelled', async () => {
  const {request, close} = await createFixtureWithTeams();
  const input = {id: 'tonight', template: 'sky', parameters: PARAMETERS};
  const created = await request('POST', '/admin/v1/events', input, 'z-ola');
  assert.is(created.status, 201);
  const repeated = await request('POST', '/admin/v1/events', input, 'z-ola');
  assert.is(repeated.body.error?.kind, 'conflict');
  const url = '/admin/v1/events/tonight';
  const status = await request('GET', `${url}/status`, undefined, 'z-ola');
  assert.is(status.body['phase'], 'planning');
  const [need] = status.body['needs'] as {unplaced: number; warm: number}[];
  assert.equal([need?.unplaced, need?.warm], [2, 0]);
  const foreign = await request('GET', `${url}/status`, undefined, 'p-sam');
  assert.is(foreign.status, 404);
  const cancelled = await request(
    'DELETE',
    `${url}?expectedVersion=1&reason=clouds`,
    undefined,
    'z-ola',
  );
  assert.is(cancelled.status, 200);
  const recreated = await request('POST', '/admin/v1/events', input, 'z-ola');
  assert.is(recreated.body['version'], 3);
  await close();
});

events.run();
