import {ManualClock} from '@mimosatack/clock';
import {SeededRandom} from '@mimosatack/random';
import {type BackendServerEntry} from '@mimosatack/types';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {LeastLoadedChooser} from './least_loaded_chooser.js';
import {type ChosenServer} from './server_chooser.js';
import {makeAsk, makeServer} from './test_fixtures.js';

const test = suite('least loaded server');

function makeChooser(
  listServers: () => BackendServerEntry[],
  clock = new ManualClock(),
) {
  return new LeastLoadedChooser({
    ...{clock, random: new SeededRandom(1)},
    ...{ownDomain: 'hall-a', listServers},
    findHostShare: () => 0.25,
    permits: {isLimited: () => false, request: () => Promise.resolve(0)},
    availability: {findWaitMs: () => 0},
  });
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
  chooser.recordLoad(old, {running: 4, waiting: 8, slots: 4});
  chooser.recordResult(toChoice(old), 'unreachable');
  assert.is(await pickId(chooser), 's1');
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
  const chooser = makeChooser(() => [brittle, makeServer({id: 's2'})], clock);
  [1, 2, 3].forEach(() => chooser.recordSent(toChoice(makeServer({id: 's2'}))));
  assert.is(await pickId(chooser), 's1');
  chooser.recordTerms(brittle, {brittlePerSecond: 8, isLimited: false});
  chooser.recordResult(toChoice(brittle), 'not-taken');
  clock.advance(990);
  assert.is(await pickId(chooser), 's2');
  clock.advance(10);
  assert.is(await pickId(chooser), 's1');
});

test.run();
