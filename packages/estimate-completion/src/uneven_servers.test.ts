import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
  type SimulatedServer,
  findCapacity,
  makeServers,
  simulate,
} from './simulation_fixture.js';

const test = suite('uneven servers, simulated');

const LOAD = 0.75;
const HOSTS = 16;
const SLOWED_FOR_MS = 600;

/** One server after the other is slowed 2.5 times. */
function findSlowdownAmong(servers: readonly SimulatedServer[]) {
  return (server: SimulatedServer, nowMs: number) => {
    const turn = Math.floor(nowMs / SLOWED_FOR_MS);
    const slowed = servers[(turn * 5) % servers.length];
    return turn % 2 === 0 && slowed === server ? 2.5 : 1;
  };
}

// Guards against requests that wait at slow servers while fast ones have places.
test('requests complete in time at servers of speeds 0.5 to 1.7', () => {
  const servers = makeServers([0.5, 0.74, 0.98, 1.22, 1.46, 1.7]);
  const rate = (LOAD * findCapacity(servers)) / HOSTS;
  const {finished, utilizations} = simulate({
    ...{servers, hostDomains: Array<string>(HOSTS).fill('a')},
    ...{findRate: () => rate, findSlowdown: findSlowdownAmong(servers)},
    ...{durationMs: 23_000, seed: 1},
  });
  const inTime = finished.filter(({tookMs}) => tookMs <= 400).length;
  const mean =
    utilizations.reduce((sum, next) => sum + next, 0) / servers.length;
  assert.ok(inTime / finished.length >= 0.97, String(inTime / finished.length));
  assert.ok(Math.max(...utilizations) / mean < 1.2, utilizations.join(' '));
});

test.run();
