import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {PARAMETERS, TEMPLATE, createTeams} from './testing_fixture.js';

const documents = suite('operators: documents');

documents('lists come in pages', async () => {
  const {ask, put, close} = await createTeams();
  await put('teams/aurora', {});
  const first = await ask('GET', '/admin/v1/teams?limit=2');
  const cursor = String(first.body['nextCursor']);
  const second = await ask('GET', `/admin/v1/teams?limit=2&cursor=${cursor}`);
  assert.equal(
    [...(first.body.items ?? []), ...(second.body.items ?? [])].map(
      item => item['id'],
    ),
    ['aurora', 'prairie', 'zorza'],
  );
  assert.is(second.body['nextCursor'], null);
  const wrong = await ask('GET', '/admin/v1/teams?cursor=%21');
  assert.is(wrong.body.error?.kind, 'bad-request');
  await close();
});

/**
 * Two operators change the same template at once, each from version 1. Only
 * one change may win, and the other must be told the version to start from.
 */
documents('of two operators that race one gets a conflict', async () => {
  const {put, close} = await createTeams();
  const options = {expectedVersion: 1, token: 'z-ola'};
  const answers = await Promise.all([
    put('templates/sky', {...TEMPLATE, description: 'a'}, options),
    put('templates/sky', {...TEMPLATE, description: 'b'}, options),
  ]);
  const loser = answers.find(answer => answer.status === 409);
  assert.equal(answers.map(answer => answer.status).sort(), [200, 409]);
  assert.is(loser?.body.error?.info?.['currentVersion'], 2);
  await close();
});

documents('a dry run shows the event and writes nothing', async () => {
  const {ask, follower, close} = await createTeams();
  const {sequence} = follower.state;
  const content = {team: 'zorza', template: 'sky', parameters: PARAMETERS};
  const url = '/admin/v1/events/tonight/validate';
  const good = await ask('POST', url, {content}, 'z-ola');
  const event = good.body['resolvedEvent'] as {needs: {replicas: number}[]};
  assert.is(event.needs[0]?.replicas, 2);
  const parameters = {...PARAMETERS, replicas: 9, wind: 1};
  const bad = await ask('POST', url, {content: {...content, parameters}});
  assert.is(bad.body['isAccepted'], false);
  assert.equal(bad.body['faults'], [
    'event tonight: parameters.wind: the template has no such parameter',
    'event tonight: parameters.replicas: give at most 4',
  ]);
  assert.is(follower.state.sequence, sequence);
  await close();
});

documents('a dry run of a template names the events it changes', async () => {
  const {ask, put, close} = await createTeams();
  const content = {team: 'zorza', template: 'sky', parameters: PARAMETERS};
  await put('events/tonight', content);
  const answer = await ask('POST', '/admin/v1/templates/sky/validate', {
    content: {...TEMPLATE, event: {...TEMPLATE.event, durationMinutes: 60}},
  });
  const [affected] = answer.body['affectedEvents'] as {eventId: string}[];
  assert.is(affected?.eventId, 'tonight');
  await close();
});

documents('versions are listed from the audit trail', async () => {
  const {ask, put, close} = await createTeams();
  const changed = {...TEMPLATE, description: 'wider'};
  await put('templates/sky', changed, {expectedVersion: 1, reason: 'wind'});
  const url = '/admin/v1/templates/sky/versions';
  const answer = await ask('GET', url, undefined, 'z-ola');
  assert.equal(
    answer.body.items?.map(item => item['reason']),
    ['wind', 'test'],
  );
  assert.is((await ask('GET', url, undefined, 'p-sam')).status, 404);
  await close();
});

documents.run();

const events = suite('operators: events');

events('an event is created, shown and cancelled', async () => {
  const {ask, close} = await createTeams();
  const input = {id: 'tonight', template: 'sky', parameters: PARAMETERS};
  const created = await ask('POST', '/admin/v1/events', input, 'z-ola');
  assert.is(created.status, 201);
  const again = await ask('POST', '/admin/v1/events', input, 'z-ola');
  assert.is(again.body.error?.kind, 'conflict');
  const url = '/admin/v1/events/tonight';
  const status = await ask('GET', `${url}/status`, undefined, 'z-ola');
  assert.is(status.body['phase'], 'planning');
  const [need] = status.body['needs'] as {unplaced: number; warm: number}[];
  assert.equal([need?.unplaced, need?.warm], [2, 0]);
  const foreign = await ask('GET', `${url}/status`, undefined, 'p-sam');
  assert.is(foreign.status, 404);
  const gone = await ask(
    'DELETE',
    `${url}?expectedVersion=1&reason=clouds`,
    undefined,
    'z-ola',
  );
  assert.is(gone.status, 200);
  const recreated = await ask('POST', '/admin/v1/events', input, 'z-ola');
  assert.is(recreated.body['version'], 3);
  await close();
});

events.run();
