import {ManualClock} from '@mimosatack/clock';
import {SeededRandom} from '@mimosatack/random';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {LeastLoadedChooser} from './least_loaded_chooser.js';
import {type ServerChoice} from './server_chooser.js';
import {makeAsk, makeServer, settle} from './test_fixtures.js';

const test = suite('choice among servers that are leaving or paused');

/** Servers by id with the time until they may get requests. */
function createFixture(waits: Record<string, number>) {
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
    permits: {isLimited: () => false, request: () => Promise.resolve(0)},
    availability: {findWaitMs: ({id}) => waits[id] ?? 0},
  });
  return {clock, chooser};
}

function findServerId(choice: ServerChoice): string {
  return choice.status === 'chosen' ? choice.server.id : 'none';
}

// Guards against a leaving server that draws work since it has become idle.
test('a leaving server is left for another', async () => {
  const {chooser} = createFixture({leaving: Infinity, other: 0});
  chooser.recordSent({
    ...{status: 'chosen', server: makeServer({id: 'other'}), askId: null},
    basis: {by: 'own-view'},
  });
  assert.is(findServerId(await chooser.choose(makeAsk())), 'other');
});

// Guards against a request that waits for servers that do not come back.
test('a request is refused at once when all servers are leaving', async () => {
  const {chooser} = createFixture({leaving: Infinity});
  const choice = await chooser.choose(makeAsk());
  assert.is(choice.status, 'refused');
  if (choice.status !== 'refused') return;
  assert.ok(Number(choice.error.retryAfterMs) > 0);
});

// Guards against a paused server that draws work since it has become idle.
test('a paused server is left for another', async () => {
  const {chooser} = createFixture({paused: 300, other: 0});
  chooser.recordSent({
    ...{status: 'chosen', server: makeServer({id: 'other'}), askId: null},
    basis: {by: 'own-view'},
  });
  assert.is(findServerId(await chooser.choose(makeAsk())), 'other');
});

test('a request waits for a pause that ends in time', async () => {
  const waits: Record<string, number> = {paused: 300};
  const {clock, chooser} = createFixture(waits);
  const choice = chooser.choose(makeAsk());
  await settle();
  waits['paused'] = 0;
  clock.advance(300);
  assert.is(findServerId(await choice), 'paused');
});

// Guards against a request that waits for a pause that ends too late for it.
test('a request is refused at once with the time of the next end', async () => {
  const {chooser} = createFixture({paused: 900, alsoPaused: 700});
  const choice = await chooser.choose(makeAsk());
  assert.is(choice.status, 'refused');
  if (choice.status !== 'refused') return;
  assert.is(choice.error.retryAfterMs, 700);
});

test.run();
