/** Nodes that send more to limited servers than these take, without a network. */
import {ManualClock} from '@mimosatack/clock';
import {flushPendingCallbacks, makeEngineEntry} from '@mimosatack/fakes';
import {SeededRandom} from '@mimosatack/random';
import {LeastLoadedChooser, type ServerAsk} from '@mimosatack/serve-requests';
import {ServerLimiter} from '@mimosatack/share-limits';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {PermitClient} from './permit_client.js';

const test = suite('servers with limits under overload');

const SERVERS = ['s1', 's2'].map(id => ({
  ...makeEngineEntry(id),
  service: 'plain',
}));
const NODES = 3;
const LIMIT_PER_SECOND = 2;
const REQUEST_INTERVAL_MS = 33;
const HOP_MS = 2;
const TIMEOUT_MS = 8_000;
const WINDOW_MS = 4_000;

function makeAsk(nowMs: number): ServerAsk {
  return {
    request: {receivedAtMs: nowMs, generation: null},
    service: {name: 'plain', engine: null},
    ...{excluded: new Set<string>(), allowed: null, softwareVersion: null},
    endsAtMs: nowMs + TIMEOUT_MS,
    signal: new AbortController().signal,
  } as unknown as ServerAsk;
}

/** Nodes with a scheduling node that spends the limits for all. */
function startNodes(seed: number) {
  const clock = new ManualClock();
  const random = new SeededRandom(seed);
  const limits = {findLimit: () => LIMIT_PER_SECOND, findShare: () => 1};
  const holder = new ServerLimiter(limits);
  const byId = new Map(SERVERS.map(server => [server.id, server]));
  const choosers = Array.from({length: NODES}, (_, index) => {
    const permits: PermitClient = new PermitClient({
      ...{clock, askIdPrefix: `n${index}`, limiter: new ServerLimiter(limits)},
      sendToHolder: message => {
        const server = message.type === 'permit' && byId.get(message.serverId);
        if (!server) return false;
        const {askId, maxWaitMs} = message;
        clock.setTimer(HOP_MS, () => {
          const waitMs = holder.tryTake(server, clock.monotonicMs(), maxWaitMs);
          clock.setTimer(HOP_MS, () =>
            permits.settle({type: 'permitted', askId, waitMs}),
          );
        });
        return true;
      },
    });
    return new LeastLoadedChooser({
      ...{clock, random, permits, ownDomain: 'a', crossDomainCostMs: 5},
      listServers: () => SERVERS,
      availability: {findWaitMs: () => 0},
      findHostShare: () => 1,
    });
  });
  return {clock, choosers};
}

/** When each server got requests, by server. */
async function drive(seed: number, durationMs: number) {
  const {clock, choosers} = startNodes(seed);
  const sentAtMs = new Map<string, number[]>();
  const sent: Array<Promise<void>> = [];
  const send = async (chooser: LeastLoadedChooser) => {
    const choice = await chooser.choose(makeAsk(clock.monotonicMs()));
    if (choice.status !== 'chosen') return;
    const {id} = choice.server;
    sentAtMs.set(id, [...(sentAtMs.get(id) ?? []), clock.monotonicMs()]);
  };
  for (let passedMs = 0; passedMs < durationMs; passedMs += 1) {
    const chooser = choosers[sent.length % choosers.length];
    if (chooser && passedMs % REQUEST_INTERVAL_MS === 0) {
      sent.push(send(chooser));
    }
    clock.advance(1);
    await flushPendingCallbacks();
  }
  return sentAtMs;
}

// Guards against times at one server that requests reserve there and do not use.
test('servers get what their limits allow while more is sent', async () => {
  const sentAtMs = await drive(1, 2 * WINDOW_MS);
  SERVERS.forEach(({id}) =>
    [1_500, 2_500, 4_000].forEach(fromMs => {
      const count = (sentAtMs.get(id) ?? []).filter(
        atMs => atMs >= fromMs && atMs < fromMs + WINDOW_MS,
      ).length;
      const allowed = (LIMIT_PER_SECOND * WINDOW_MS) / 1_000;
      assert.ok(count >= allowed - 1, `${count} of ${allowed} at ${id}`);
    }),
  );
});

test.run();
