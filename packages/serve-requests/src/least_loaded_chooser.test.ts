import {ManualClock} from '@mimosatack/clock';
import {SeededRandom} from '@mimosatack/random';
import {type BackendServerEntry} from '@mimosatack/types';
import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type ServerLoad} from './backend_dialect.js';
import {LeastLoadedChooser} from './least_loaded_chooser.js';
import {type ChosenServer} from './server_chooser.js';
import {makeAsk, makeServer} from './test_fixtures.js';

const test = suite('least loaded server');

function makeChooser(
  listServers: () => BackendServerEntry[],
  crossDomainCostMs = 5,
  clock = new ManualClock(),
) {
  return new LeastLoadedChooser({
    ...{clock, random: new SeededRandom(1)},
    ...{ownDomain: 'hall-a', crossDomainCostMs, listServers},
    findHostShare: () => 0.25,
    permits: {isLimited: () => false, request: () => Promise.resolve(0)},
    availability: {findWaitMs: () => 0},
  });
}

function makeLoad(
  slowdownPercent: number | null,
  change: Partial<ServerLoad> = {},
): ServerLoad {
  return {running: 0, waiting: 0, slots: 4, slowdownPercent, ...change};
}

function toChoice(server: BackendServerEntry): ChosenServer {
  return {status: 'chosen', server, basis: {by: 'own-view'}, askId: null};
}

async function pickId(chooser: LeastLoadedChooser) {
  const choice = await chooser.choose(makeAsk());
  return choice.status === 'chosen' ? choice.server.id : null;
}

/*
 * Guards against counting late results and loads of a crashed server for its
 * next incarnation under the same id.
 */
test('a restarted server has no requests in flight', async () => {
  const old = makeServer({id: 's1', startedAtMs: 1_000});
  const restarted = {...old, startedAtMs: 9_000};
  const other = makeServer({id: 's2'});
  let servers = [old, other];
  const chooser = makeChooser(() => servers);
  [1, 2, 3].forEach(() => chooser.recordSent(toChoice(old)));
  chooser.recordSent(toChoice(other));
  assert.is(await pickId(chooser), 's2');
  servers = [restarted, other];
  chooser.recordSent(toChoice(restarted));
  chooser.recordSent(toChoice(other));
  chooser.recordLoad(old, makeLoad(null, {running: 4, waiting: 8}));
  chooser.recordResult(toChoice(old), 'unreachable', null);
  assert.is(await pickId(chooser), 's1');
});

// Guards against retries that all go to the full server that has rejected the request.
test('a server that has just rejected a request is passed over', async () => {
  const [full, busy] = [makeServer({id: 's1'}), makeServer({id: 's2'})];
  const chooser = makeChooser(() => [full, busy]);
  [1, 2].forEach(() => chooser.recordSent(toChoice(busy)));
  assert.is(await pickId(chooser), 's1');
  chooser.recordSent(toChoice(full));
  chooser.recordResult(toChoice(full), 'not-taken', null);
  assert.is(await pickId(chooser), 's2');
});

// Guards against a stream that goes on at a version that did not begin it.
test('a resumed stream goes to a server of its version or to none', async () => {
  const old = makeServer({id: 's1', softwareVersion: 'v1'});
  const servers = [old, makeServer({id: 's2', softwareVersion: 'v2'})];
  const chooser = makeChooser(() => servers);
  [1, 2, 3].forEach(() => chooser.recordSent(toChoice(old)));
  const chooseAt = (softwareVersion: string) =>
    chooser.choose(makeAsk({softwareVersion}));
  const choice = await chooseAt('v1');
  assert.is(choice.status === 'chosen' && choice.server.id, 's1');
  assert.is((await chooseAt('v3')).status, 'refused');
});

// Guards against brittle servers that fall over while no node schedules.
test('after a rejection a brittle server is spared for a time', async () => {
  const brittle = makeServer({id: 's1'});
  const clock = new ManualClock();
  const chooser = makeChooser(
    () => [brittle, makeServer({id: 's2'})],
    5,
    clock,
  );
  [1, 2, 3].forEach(() => chooser.recordSent(toChoice(makeServer({id: 's2'}))));
  assert.is(await pickId(chooser), 's1');
  chooser.recordTerms(brittle, {brittlePerSecond: 8, isLimited: false});
  chooser.recordResult(toChoice(brittle), 'not-taken', null);
  clock.advance(990);
  assert.is(await pickId(chooser), 's2');
  clock.advance(10);
  assert.is(await pickId(chooser), 's1');
});

// Guards against other choices at services whose servers send no slowdown figure.
test('without a figure neither times nor the cost change a choice', async () => {
  const servers = ['hall-a', 'hall-a', 'hall-b'].map((failureDomain, index) =>
    makeServer({id: `s${index}`, failureDomain}),
  );
  const event = fc.record({
    ...{at: fc.nat(2), tookMs: fc.nat(2_000), running: fc.nat(9)},
    percent: fc.constantFrom(null, 9, 2_001),
  });
  await fc.assert(
    fc.asyncProperty(fc.array(event), async events => {
      const play = async (costMs: number, isSuccess: boolean) => {
        const clock = new ManualClock();
        const chooser = makeChooser(() => servers, costMs, clock);
        events.forEach(({at, tookMs, running, percent}) => {
          const choice = toChoice(servers[at] ?? servers[0]!);
          chooser.recordSent(choice);
          clock.advance(tookMs);
          chooser.recordLoad(choice.server, makeLoad(percent, {running}));
          chooser.recordResult(choice, 'answered', null, isSuccess);
        });
        return pickId(chooser);
      };
      assert.is(await play(0, true), await play(60_000, false));
    }),
  );
});

// Guards against requests to a machine that does other work at the moment.
test('a server that says it is slowed down gets fewer requests', async () => {
  const servers = ['s1', 's2'].map(id => makeServer({id}));
  const clock = new ManualClock();
  const chooser = makeChooser(() => servers, 5, clock);
  const serve = (server: BackendServerEntry, percent: number) => {
    const choice = toChoice(server);
    chooser.recordLoad(server, makeLoad(percent));
    chooser.recordSent(choice);
    clock.advance(percent);
    chooser.recordLoad(server, makeLoad(percent));
    chooser.recordResult(choice, 'answered', null, true);
  };
  servers.forEach(server => serve(server, 100));
  serve(servers[1]!, 250);
  assert.is(await pickId(chooser), 's1');
  serve(servers[1]!, 100);
  serve(servers[0]!, 250);
  assert.is(await pickId(chooser), 's2');
});

test.run();
