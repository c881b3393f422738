import {ManualClock} from '@mimosatack/clock';
import {TypedError} from '@mimosatack/errors';
import {makeEngineEntry} from '@mimosatack/fakes';
import {MemoryKeyedTopic} from '@mimosatack/keyed-store';
import {SeededRandom} from '@mimosatack/random';
import {type BackendServerEntry} from '@mimosatack/types';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type PlatformAdapter} from './platform_adapter.js';
import {ServerFollower} from './server_follower.js';

const test = suite('server follower');

const START_TIME_DECODER = {
  decodeServer: (id: string, value: Uint8Array) => {
    const text = Buffer.from(value).toString('utf8');
    if (text === 'junk') throw new TypedError('record-invalid', 'Unreadable.');
    const startedAtMs = text === 'fails' ? FAILING_START_MS : Number(text);
    return {...makeEngineEntry(id), startedAtMs};
  },
} as unknown as PlatformAdapter;

/** What follows the changes can't handle an entry with this id or start. */
const FAILING_ID = 'failing';
const FAILING_START_MS = 2_000;

function isFailing({id, startedAtMs}: BackendServerEntry): boolean {
  return id === FAILING_ID || startedAtMs === FAILING_START_MS;
}

function makeFollower() {
  const used = new Set<string>();
  const leftOut: string[] = [];
  const follower = new ServerFollower({
    ...{clock: new ManualClock(), random: new SeededRandom(1)},
    platform: {...START_TIME_DECODER, serversTopic: new MemoryKeyedTopic()},
    ...{isReader: () => false, peerAgeMs: () => 0},
    onChanges: changes =>
      changes.forEach(({id, entry}) => {
        if (entry && isFailing(entry)) throw new RangeError('Out of range.');
        used.add(id);
      }),
    onStateChange: () => undefined,
    ...{onRead: () => undefined, onLeftOut: id => leftOut.push(id)},
    ...{onLost: () => undefined, onRegained: () => undefined},
  });
  let offset = 0;
  const write = (key: string, text: string) => {
    const value = Buffer.from(text);
    follower.applyFromPeer(offset, [{key, value, offset}], ++offset);
  };
  const writeAll = (keys: readonly string[], text: string) => {
    const value = Buffer.from(text);
    const records = keys.map(key => ({key, value, offset: offset++}));
    follower.applyFromPeer(0, records, offset);
  };
  const remove = (key: string) =>
    follower.applyFromPeer(0, [{key, value: null, offset}], ++offset);
  return {follower, leftOut, used, write, writeAll, remove};
}

// Guards against sending requests to a server whose entry was overwritten.
test('an entry that can not be read names no server to use', () => {
  const {follower, leftOut, write} = makeFollower();
  write('s1', '1000');
  write('s2', '1000');
  write('s1', 'junk');
  write('s1', 'junk');
  write('stranger', 'junk');
  const ready = follower.listReady('writers').map(({id}) => id);
  assert.equal(ready, ['s2']);
  assert.equal(leftOut, ['s1', 'stranger']);
  write('s1', '1000');
  assert.is(follower.listReady('writers').length, 2);
});

// Guards against one entry that keeps the others of the same read from being used.
test('an entry that fails when it is used is left out alone', () => {
  const {follower, leftOut, used, writeAll} = makeFollower();
  writeAll(['s1', FAILING_ID, 's2'], '1000');
  assert.equal([...used].sort(), ['s1', 's2']);
  assert.equal(
    follower.list().map(({id}) => id),
    ['s1', 's2'],
  );
  assert.equal(leftOut, [FAILING_ID]);
});

// Guards against a fault elsewhere that removes all servers.
test('a known server stays if its new entry fails when it is used', () => {
  const {follower, leftOut, write} = makeFollower();
  write('s1', '1000');
  write('s1', 'fails');
  assert.is(follower.find('s1')?.startedAtMs, 1_000);
  assert.equal(leftOut, ['s1']);
});

// Guards against a log that is flooded by keys that come and go.
test('an invalid entry that is removed is not remembered', () => {
  const {leftOut, write, remove} = makeFollower();
  const ids = Array.from({length: 1_100}, (_, at) => `odd-${at}`);
  ids.forEach(id => {
    write(id, 'junk');
    remove(id);
  });
  leftOut.length = 0;
  write('odd', 'junk');
  write('odd', 'junk');
  assert.equal(leftOut, ['odd']);
});

const JSON_DECODER = {
  decodeServer: (id: string, value: Uint8Array) => {
    const {state, holds, startedAtMs, softwareVersion} = JSON.parse(
      Buffer.from(value).toString(),
    ) as {
      state: 'ready' | 'draining';
      holds: string;
      startedAtMs?: number;
      softwareVersion?: string;
    };
    const residents = [{model: holds, version: 1, adapters: []}];
    return {
      ...makeEngineEntry(id),
      ...{state, residents, startedAtMs: startedAtMs ?? null},
      softwareVersion: softwareVersion ?? 'v1',
    };
  },
} as unknown as PlatformAdapter;

/** A follower that reads the store, and the ids that it passes on to peers. */
function makeReader() {
  const clock = new ManualClock();
  const topic = new MemoryKeyedTopic();
  const broadcasts: string[][] = [];
  const reader: ServerFollower = new ServerFollower({
    ...{clock, random: new SeededRandom(1)},
    platform: {...JSON_DECODER, serversTopic: topic},
    ...{isReader: () => true, peerAgeMs: () => Infinity},
    ...{onChanges: () => undefined, onStateChange: () => undefined},
    onRead: fromOffset =>
      broadcasts.push(
        reader.routingTable.listSince(fromOffset).map(({key}) => key),
      ),
    ...{onLeftOut: () => undefined, onLost: () => undefined},
    onRegained: () => undefined,
  });
  const write = (key: string, value: object | null) =>
    topic.append([{key, value: value && Buffer.from(JSON.stringify(value))}]);
  const advance = async (durationMs: number) => {
    for (let elapsedMs = 0; elapsedMs < durationMs; elapsedMs += 50) {
      clock.advance(50);
      await new Promise(resolve => setImmediate(resolve));
    }
  };
  return {reader, topic, broadcasts, write, advance};
}

// Guards against passing every heartbeat of every server on to all nodes.
test('only changes that affect routing are passed on', async () => {
  const {reader, broadcasts, write, advance} = makeReader();
  await write('s1', {state: 'ready', holds: 'm1'});
  await write('s2', {state: 'ready', holds: 'm1'});
  reader.start();
  await advance(2_000);
  assert.equal(broadcasts, [['s1', 's2']]);
  for (const holds of ['m2', 'm3', 'm4']) {
    await write('s1', {state: 'ready', holds});
    await advance(1_000);
  }
  assert.is(broadcasts.length, 1);
  assert.is(reader.find('s1')?.residents[0]?.model, 'm4');
  await write('s1', {state: 'draining', holds: 'm4'});
  await write('s2', null);
  await advance(1_000);
  assert.equal(broadcasts.slice(1).flat().sort(), ['s1', 's2']);
  reader.stop();
});

// Guards against a read that lay in the socket while the process stood still, and whose
// list then counts as new.
test('the age of the list counts from the start of its read', async () => {
  const {reader, topic, write, advance} = makeReader();
  await write('s1', {state: 'ready', holds: 'm1'});
  reader.start();
  await advance(1_000);
  const readFrom = topic.readFrom.bind(topic);
  const late: Array<() => void> = [];
  topic.readFrom = async (...terms) => {
    const outcome = await readFrom(...terms);
    await new Promise<void>(resolve => late.push(resolve));
    return outcome;
  };
  await advance(1_000);
  topic.readFrom = () => new Promise(() => undefined);
  await advance(3_000);
  late.forEach(resolve => resolve());
  await advance(100);
  assert.is(late.length, 1);
  assert.ok(reader.ageMs >= 3_000, `${reader.ageMs}`);
  reader.stop();
});

// Guards against peers that take a restarted server for one of its earlier version.
test('a new software version under the same id is passed on', async () => {
  const {reader, broadcasts, write, advance} = makeReader();
  await write('s1', {state: 'ready', holds: 'm1'});
  reader.start();
  await advance(1_000);
  await write('s1', {state: 'ready', holds: 'm1', softwareVersion: 'v2'});
  await advance(1_000);
  assert.equal(broadcasts, [['s1'], ['s1']]);
  assert.is(reader.find('s1')?.softwareVersion, 'v2');
  reader.stop();
});

// Guards against a delayed heartbeat that names models of an earlier process.
test('a delayed entry of an earlier process is neither applied nor passed on', async () => {
  const {reader, broadcasts, write, advance} = makeReader();
  await write('s1', {state: 'ready', holds: 'm1', startedAtMs: 1_000});
  reader.start();
  await advance(1_000);
  await write('s1', {state: 'ready', holds: 'm2', startedAtMs: 9_000});
  await advance(1_000);
  const before = broadcasts.length;
  await write('s1', {state: 'ready', holds: 'm1', startedAtMs: 1_000});
  await advance(1_000);
  assert.is(reader.find('s1')?.startedAtMs, 9_000);
  assert.is(broadcasts.length, before);
  const [shared] = reader.routingTable.listSince(0);
  assert.match(Buffer.from(shared?.value ?? []).toString(), /9000/);
  reader.stop();
});

// Guards against a new scheduling node that keeps a peer's partial entries.
test('a node that becomes the reader reads all entries again', async () => {
  const {reader, topic, write, advance} = makeReader();
  const fromPeer = Buffer.from(JSON.stringify({state: 'ready', holds: 'm1'}));
  await write('s1', {state: 'ready', holds: 'm1'});
  await write('s1', {state: 'ready', holds: 'm2'});
  reader.applyFromPeer(0, [{key: 's1', value: fromPeer, offset: 0}], 1);
  assert.is(reader.find('s1')?.residents[0]?.model, 'm1');
  topic.firstOffset = 2;
  reader.start();
  await advance(1_000);
  assert.is(reader.find('s1')?.residents[0]?.model, 'm2');
  reader.stop();
});

// Guards against peers that reject a server whose host's clock was set back.
test('peers accept an earlier start time that the reader has accepted', () => {
  const {follower, write} = makeFollower();
  write('s1', '9000');
  write('s1', '1000');
  assert.is(follower.find('s1')?.startedAtMs, 1_000);
});

function makeRestored() {
  const made = makeReader();
  const {reader, write} = made;
  const put = (id: string, state = 'ready') => write(id, {state, holds: 'm0'});
  const listReady = () => reader.listReady('writers').map(({id}) => id);
  return {...made, put, listReady};
}

// Guards against using servers that left since the copy was made.
test('a copy of the store makes no server ready that leaves or has left', async () => {
  const {topic, reader, write, put, advance, listReady} = makeRestored();
  for (const id of ['s1', 's2', 's3']) await put(id);
  reader.start();
  await advance(1_000);
  await put('s1', 'draining');
  await write('s2', null);
  await advance(1_000);
  topic.restore(3);
  await advance(1_000);
  assert.equal(listReady(), ['s3']);
  // Written again late, from before it left.
  await put('s1');
  await advance(1_000);
  assert.equal(listReady(), ['s3']);
  await put('s3', 'draining');
  await advance(1_000);
  assert.equal(listReady(), []);
  reader.stop();
});

// Guards against losing servers that started since the copy was made, and against
// keeping those that have gone.
test('servers that a copy lacks stay until they had time to write again', async () => {
  const {topic, reader, put, advance, listReady} = makeRestored();
  for (const id of ['s1', 's2']) await put(id);
  reader.start();
  await advance(1_000);
  topic.restore(0);
  await advance(1_000);
  assert.equal(listReady(), ['s1', 's2']);
  await put('s1');
  await advance(2_500);
  assert.equal(listReady(), ['s1']);
  reader.stop();
});

test.run();
