import {ManualClock} from '@mimosatack/clock';
import {TypedError} from '@mimosatack/errors';
import {makeEngineEntry} from '@mimosatack/fakes';
import {MemoryKeyedTopic} from '@mimosatack/keyed-store';
import {SeededRandom} from '@mimosatack/random';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type PlatformAdapter} from './platform_adapter.js';
import {ServerFollower} from './server_follower.js';

const test = suite('list of servers');

const DECODER = {
  decodeServer: (id: string, value: Uint8Array) => {
    const text = Buffer.from(value).toString('utf8');
    if (text === 'junk') throw new TypedError('record-invalid', 'Unreadable.');
    return {...makeEngineEntry(id), startedAtMs: Number(text)};
  },
} as unknown as PlatformAdapter;

function makeFollower() {
  const faults: unknown[] = [];
  const follower = new ServerFollower({
    ...{clock: new ManualClock(), random: new SeededRandom(1)},
    platform: DECODER,
    ...{isReader: () => false, peerAgeMs: () => 0},
    ...{onChanges: () => undefined, onState: () => undefined},
    ...{onRead: () => undefined, onFault: error => faults.push(error)},
    ...{onLost: () => undefined, onRegained: () => undefined},
  });
  let offset = 0;
  const write = (key: string, text: string) => {
    const value = Buffer.from(text);
    follower.takeFromPeer(offset, [{key, value, offset}], ++offset);
  };
  return {follower, faults, write};
}

/*
 * Somebody else writes under a server's key what nobody can read. Users' requests
 * would still be sent there for as long as it stands, though nothing is known of
 * the server any more; all other servers must stay usable.
 */
test('an entry that can not be read names no server to use', () => {
  const {follower, faults, write} = makeFollower();
  write('s1', '1000');
  write('s2', '1000');
  write('s1', 'junk');
  write('s1', 'junk');
  write('stranger', 'junk');
  const ready = follower.listReady('writers').map(({id}) => id);
  assert.equal(ready, ['s2']);
  assert.is(faults.length, 2);
  write('s1', '1000');
  assert.is(follower.listReady('writers').length, 2);
});

const DESCRIBED = {
  decodeServer: (id: string, value: Uint8Array) => {
    const {state, holds, startedAtMs} = JSON.parse(
      Buffer.from(value).toString(),
    ) as {state: 'ready' | 'draining'; holds: string; startedAtMs?: number};
    const residents = [{model: holds, version: 1, adapters: []}];
    return {
      ...makeEngineEntry(id),
      ...{state, residents, startedAtMs: startedAtMs ?? null},
    };
  },
} as unknown as PlatformAdapter;

/** A node that reads for the others, and what it passes on to them. */
function makeReader() {
  const clock = new ManualClock();
  const topic = new MemoryKeyedTopic();
  const passed: string[][] = [];
  const reader: ServerFollower = new ServerFollower({
    ...{clock, random: new SeededRandom(1)},
    platform: {...DESCRIBED, serversTopic: topic},
    ...{isReader: () => true, peerAgeMs: () => Infinity},
    ...{onChanges: () => undefined, onState: () => undefined},
    onRead: fromOffset =>
      passed.push(reader.passedOn.listSince(fromOffset).map(({key}) => key)),
    ...{onFault: () => undefined, onLost: () => undefined},
    onRegained: () => undefined,
  });
  const write = (key: string, value: object | null) =>
    topic.append([{key, value: value && Buffer.from(JSON.stringify(value))}]);
  const pass = async (durationMs: number) => {
    for (let passedMs = 0; passedMs < durationMs; passedMs += 50) {
      clock.advance(50);
      await new Promise(resolve => setImmediate(resolve));
    }
  };
  return {reader, topic, passed, write, pass};
}

/*
 * Story: hundreds of nodes that serve a request a second use a tenth of their
 * links and half of their work to hear what each engine holds, which only the
 * node that schedules needs. Every heartbeat of every server went to all nodes.
 */
test('of heartbeats, only what changes where requests go is passed on', async () => {
  const {reader, passed, write, pass} = makeReader();
  await write('s1', {state: 'ready', holds: 'm1'});
  await write('s2', {state: 'ready', holds: 'm1'});
  reader.start();
  await pass(2_000);
  assert.equal(passed, [['s1', 's2']]);
  for (const holds of ['m2', 'm3', 'm4']) {
    await write('s1', {state: 'ready', holds});
    await pass(1_000);
  }
  assert.is(passed.length, 1);
  assert.is(reader.find('s1')?.residents[0]?.model, 'm4');
  await write('s1', {state: 'draining', holds: 'm4'});
  await write('s2', null);
  await pass(1_000);
  assert.equal(passed.slice(1).flat().sort(), ['s1', 's2']);
  reader.stop();
});

/*
 * Story: requests go to a server for models that it holds no more. A heartbeat
 * of its former life was long on its way to the store.
 */
test('a late entry of an earlier life changes nothing, here or elsewhere', async () => {
  const {reader, passed, write, pass} = makeReader();
  await write('s1', {state: 'ready', holds: 'm1', startedAtMs: 1_000});
  reader.start();
  await pass(1_000);
  await write('s1', {state: 'ready', holds: 'm2', startedAtMs: 9_000});
  await pass(1_000);
  const before = passed.length;
  await write('s1', {state: 'ready', holds: 'm1', startedAtMs: 1_000});
  await pass(1_000);
  assert.is(reader.find('s1')?.startedAtMs, 9_000);
  assert.is(passed.length, before);
  const [told] = reader.passedOn.listSince(0);
  assert.match(Buffer.from(told?.value ?? []).toString(), /9000/);
  reader.stop();
});

/*
 * Story: requests wait for models that an engine is believed not to hold. A node
 * took over the scheduling, and had been told of servers by another one, which
 * passes on only where requests may go.
 */
test('a node that begins to read takes all entries anew', async () => {
  const {reader, topic, write, pass} = makeReader();
  const told = Buffer.from(JSON.stringify({state: 'ready', holds: 'm1'}));
  await write('s1', {state: 'ready', holds: 'm1'});
  await write('s1', {state: 'ready', holds: 'm2'});
  reader.takeFromPeer(0, [{key: 's1', value: told, offset: 0}], 1);
  assert.is(reader.find('s1')?.residents[0]?.model, 'm1');
  topic.firstOffset = 2;
  reader.start();
  await pass(1_000);
  assert.is(reader.find('s1')?.residents[0]?.model, 'm2');
  reader.stop();
});

/*
 * Story: a server whose host's clock was set back gets no requests from most
 * nodes. The one that reads believes its second heartbeat and passes that one
 * on; the others waited for a second one, which never came.
 */
test('a life that the reader believes is believed by those it tells', () => {
  const {follower, write} = makeFollower();
  write('s1', '9000');
  write('s1', '1000');
  assert.is(follower.find('s1')?.startedAtMs, 1_000);
});

test.run();
