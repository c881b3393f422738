import {ManualClock} from '@mimosatack/clock';
import {SeededRandom} from '@mimosatack/random';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {LeastLoadedChooser} from './least_loaded_chooser.js';
import {type ServerChoice} from './server_chooser.js';
import {makeAsk, makeServer, settle} from './test_fixtures.js';

const test = suite('choice among servers that name a limit');

/** Servers by id with the wait for their next permit; null for no limit. */
function makeChooser(waits: Record<string, number | null>) {
  const clock = new ManualClock();
  const chooser = new LeastLoadedChooser({
    ...{
      clock,
      random: new SeededRandom(1),
      ownDomain: 'hall-a',
      crossDomainCostMs: 5,
    },
    listServers: () => Object.keys(waits).map(id => makeServer({id})),
    findHostShare: () => 0.25,
    permits: {
      isLimited: ({id}) => waits[id] !== null,
      request: ({id}) => Promise.resolve(waits[id] ?? 0),
    },
    availability: {findWaitMs: () => 0},
  });
  return {clock, chooser};
}

function findServerId(choice: ServerChoice): string {
  return choice.status === 'chosen' ? choice.server.id : 'none';
}

test('a server without room is left for another', async () => {
  const {chooser} = makeChooser({limited: 900, other: null});
  assert.is(findServerId(await chooser.choose(makeAsk())), 'other');
});

test('a limited server with room is used', async () => {
  const {chooser} = makeChooser({limited: 0});
  assert.is(findServerId(await chooser.choose(makeAsk())), 'limited');
});

test('a request waits for room that comes in time', async () => {
  const waits: Record<string, number | null> = {limited: 400};
  const {clock, chooser} = makeChooser(waits);
  const choice = chooser.choose(makeAsk());
  await settle();
  waits['limited'] = 0;
  clock.advance(400);
  assert.is(findServerId(await choice), 'limited');
});

// Guards against a request that waits for room that comes too late for it.
test('a request is refused at once when room comes too late', async () => {
  const {chooser} = makeChooser({limited: 900, alsoLimited: 700});
  const choice = await chooser.choose(makeAsk());
  assert.is(choice.status, 'refused');
  if (choice.status !== 'refused') return;
  assert.is(choice.error.retryAfterMs, 700);
  assert.is(choice.error.run, 'not-run');
});

// Guards against a wait that goes on after its caller has left.
test('an aborted request stops waiting', async () => {
  const {chooser} = makeChooser({limited: 400});
  const controller = new AbortController();
  const choice = chooser.choose(makeAsk({signal: controller.signal}));
  await settle();
  controller.abort();
  assert.is((await choice).status, 'refused');
});

// Guards against a brittle server that gets a reserved request while it is spared.
test('a reserved time is not used after a rejection', async () => {
  const waits: Record<string, number | null> = {limited: 400};
  const {clock, chooser} = makeChooser(waits);
  const choice = chooser.choose(makeAsk());
  await settle();
  const server = makeServer({id: 'limited'});
  chooser.recordTerms(server, {brittlePerSecond: 1, isLimited: true});
  chooser.recordResult(
    {status: 'chosen', server, basis: {by: 'own-view'}, askId: null},
    ...(['not-taken', null] as const),
  );
  waits['limited'] = 0;
  clock.advance(400);
  assert.is((await choice).status, 'refused');
});

test.run();
