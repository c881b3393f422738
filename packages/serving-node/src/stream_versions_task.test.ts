import {ManualClock} from '@mimosatack/clock';
import {makeEngineEntry} from '@mimosatack/fakes';
import {MemoryKeyedTopic} from '@mimosatack/keyed-store';
import {decodeVersionRecord} from '@mimosatack/track-streams';
import {type BackendServerEntry} from '@mimosatack/types';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
  SERVICE_VERSIONS_KEY,
  StreamVersionsTask,
} from './stream_versions_task.js';

const test = suite('software versions of streams');

const SERVICE = makeEngineEntry('e1').service;
const MINUTE_MS = 60_000;
/** A new version gets no streams for this long. */
const LEASE_MS = 2_500;

function makeServers(...versions: readonly string[]): BackendServerEntry[] {
  return versions.map((softwareVersion, at) => ({
    ...makeEngineEntry(`e${at}`),
    softwareVersion,
  }));
}

/** A host that starts when its servers run at the versions. */
function createFixture(
  topic = new MemoryKeyedTopic(),
  {isFirstStart = true, versions = ['v1']} = {},
) {
  const clock = new ManualClock();
  let servers = makeServers(...versions);
  const task = new StreamVersionsTask({
    ...{clock, topic, isWriter: () => true, isFirstStart},
    ...{listServers: () => servers, listHosts: () => []},
    ...{serversAgeMs: () => 0, send: () => undefined},
    ask: () => Promise.resolve(null),
    onFault: error => assert.unreachable(error.message),
  });
  const list = (...versions: readonly string[]) => {
    servers = makeServers(...versions);
    task.updateServers();
  };
  list(...versions);
  const resume = () => task.origins.find({stream: null, service: SERVICE});
  /** Reads the record, as a host does when it starts, and after each change. */
  const read = async () => {
    const value = await readRecord(topic);
    if (value) task.applyRecord(value);
    task.noteLoaded();
  };
  const write = async () => {
    await task.syncRecord();
    await read();
  };
  const mayBegin = (softwareVersion: string) =>
    task.origins.mayBegin({service: SERVICE, softwareVersion});
  return {clock, task, topic, list, resume, read, write, mayBegin};
}

/** Hosts of a first start that have written their record. */
async function createRunning(versions: string[]) {
  const fixture = createFixture(new MemoryKeyedTopic(), {versions});
  await fixture.read();
  await fixture.write();
  return fixture;
}

async function readRecord(topic: MemoryKeyedTopic) {
  const {records} = await topic.readSnapshot();
  return records.find(({key}) => key === SERVICE_VERSIONS_KEY)?.value ?? null;
}

async function listRecorded(topic: MemoryKeyedTopic): Promise<string[]> {
  const value = await readRecord(topic);
  const record = value && decodeVersionRecord(value);
  return [...(record?.services.get(SERVICE) ?? [])];
}

// Guards against a host that was suspended and still holds the list of servers from before.
test('a list of servers from before a suspension counts as old', async () => {
  const {clock, task, resume, read} = createFixture();
  await read();
  assert.is((await resume()).source, 'only-version');
  clock.suspend(10_000);
  // What the host tells the others of the age.
  assert.is(task.serversAgeMs, Infinity);
  assert.is((await resume()).source, 'unknown');
  clock.advance(3_000);
  task.updateServers();
  assert.is((await resume()).source, 'only-version');
});

// Guards against a host that stood still while one version left and another came, and that
// has forgotten the first.
test('a host that stood still does not believe what the record does not name', async () => {
  const {clock, list, resume} = await createRunning(['v1']);
  clock.advance(MINUTE_MS + 10_000);
  list('v2');
  assert.is((await resume()).source, 'unknown');
});

// Guards against the same host where the record names both.
test('a host that stood still believes no version beside others in the record', async () => {
  const {clock, list, resume, write} = await createRunning(['v1']);
  list('v1', 'v2');
  clock.advance(LEASE_MS);
  await write();
  clock.advance(MINUTE_MS + 10_000);
  list('v2');
  assert.is((await resume()).source, 'unknown');
});

// Guards against hosts that all restart at once and see only the version that is left.
test('a host that has started knows that there were other versions', async () => {
  const {topic} = await createRunning(['v1', 'v2']);
  const after = createFixture(topic, {isFirstStart: false});
  await after.read();
  assert.is((await after.resume()).source, 'unknown');
});

// Guards against streams that go on at a version that came while all hosts were away.
test('hosts that have all started know the version that served before', async () => {
  const {topic} = await createRunning(['v1']);
  for (const versions of [['v2'], ['v1', 'v2']]) {
    const after = createFixture(topic, {isFirstStart: false, versions});
    await after.read();
    assert.is((await after.resume()).source, 'unknown', versions.join());
  }
});

// Guards against streams that are lost with all hosts though nothing else has changed.
test('streams go on after a restart of all hosts at the only version', async () => {
  const {topic} = await createRunning(['v1']);
  const after = createFixture(topic, {isFirstStart: false});
  await after.read();
  const {origin, source} = await after.resume();
  assert.is(origin?.softwareVersion, 'v1');
  assert.is(source, 'only-version');
});

// Guards against a host that serves before it has read the record.
test('a host that has not read the record continues no stream', async () => {
  const {topic} = await createRunning(['v1']);
  const after = createFixture(topic, {isFirstStart: false, versions: ['v2']});
  assert.is((await after.resume()).source, 'unknown');
  await after.task.syncRecord();
  assert.equal(await listRecorded(topic), ['v1']);
});

// Guards against a record of hosts that know nothing of the time before, which those after
// them would believe.
test('without a record the versions of before are not known for a minute', async () => {
  const first = createFixture(new MemoryKeyedTopic(), {isFirstStart: false});
  await first.read();
  await first.write();
  assert.is((await first.resume()).source, 'unknown');
  const second = createFixture(first.topic, {isFirstStart: false});
  await second.read();
  assert.is((await second.resume()).source, 'unknown');
  first.clock.advance(MINUTE_MS);
  first.list('v1');
  await first.write();
  assert.is((await first.resume()).source, 'only-version');
  assert.equal(await listRecorded(first.topic), ['v1']);
});

// Guards against a record of seconds ago, in a store that came back from a copy.
test('a record from a copy of the store does not tell of all versions', async () => {
  const {topic} = await createRunning(['v1']);
  topic.restore(1);
  const after = createFixture(topic, {isFirstStart: false});
  await after.read();
  assert.is((await after.resume()).source, 'unknown');
});

// Guards against a stream of a version that no record names when all hosts are lost.
test('a stream begins at a new version once the record names it', async () => {
  const {clock, list, mayBegin, task, write} = await createRunning(['v1']);
  list('v1', 'v2');
  clock.advance(LEASE_MS);
  assert.ok(mayBegin('v1'));
  assert.not(mayBegin('v2'));
  const wait = task.origins.waitUntilRecorded(
    {service: SERVICE, softwareVersion: 'v2'},
    new AbortController().signal,
  );
  await write();
  assert.is(await wait, true);
  assert.ok(mayBegin('v2'));
});

// Guards against a stream that begins while another host may still believe its list of
// before.
test('a new version is recorded once no host believes an older list', async () => {
  const {clock, list, mayBegin, write} = await createRunning(['v1']);
  list('v1', 'v2');
  await write();
  assert.not(mayBegin('v2'));
  clock.advance(LEASE_MS - 1);
  list('v1', 'v2');
  await write();
  assert.not(mayBegin('v2'));
  clock.advance(1);
  await write();
  assert.ok(mayBegin('v2'));
});

// Guards against versions in series, the second of which counts as known with the first.
test('each new version has its own lease', async () => {
  const {clock, list, mayBegin, write} = await createRunning(['v1']);
  list('v1', 'v2');
  clock.advance(LEASE_MS - 1_000);
  list('v2', 'v3');
  clock.advance(1_000);
  list('v2', 'v3');
  await write();
  assert.ok(mayBegin('v2'));
  assert.not(mayBegin('v3'));
  clock.advance(LEASE_MS - 1_000);
  await write();
  assert.ok(mayBegin('v3'));
});

// Guards against a writer that has just started and does not know how long versions are
// listed, and against refusals at hosts that start while the record names them.
test('a host that starts lets streams begin at the versions of the record', async () => {
  const {topic} = await createRunning(['v1', 'v2']);
  const versions = ['v1', 'v2', 'v3'];
  const after = createFixture(topic, {isFirstStart: false, versions});
  await after.read();
  await after.write();
  assert.equal(versions.map(after.mayBegin), [true, true, false]);
  after.clock.advance(LEASE_MS);
  await after.write();
  assert.equal(versions.map(after.mayBegin), [true, true, true]);
});

// Guards against a record that is written a second after it may be.
test('the record is written as soon as the version may be named', async () => {
  const {clock, list, mayBegin, read} = await createRunning(['v1']);
  list('v1', 'v2');
  clock.advance(LEASE_MS);
  await new Promise(resolve => setImmediate(resolve));
  await read();
  assert.ok(mayBegin('v2'));
});

// Guards against a second version of a service that is not in the record yet.
test('streams of a service that no record names begin at its only version', async () => {
  const {list, mayBegin, read, write} = createFixture();
  await read();
  assert.ok(mayBegin('v1'));
  list('v1', 'v2');
  assert.not(mayBegin('v1'));
  assert.not(mayBegin('v2'));
  await write();
  assert.ok(mayBegin('v1'));
});

// Guards against an only version that a host believes before the record names the service.
test('a running host believes an only version that the record names', async () => {
  const topic = new MemoryKeyedTopic();
  const {clock, list, read, resume, write} = createFixture(topic, {
    isFirstStart: false,
  });
  await read();
  clock.advance(MINUTE_MS);
  list('v1');
  assert.is((await resume()).source, 'unknown');
  await write();
  assert.is((await resume()).source, 'only-version');
});

// Guards against a request that waits for a store that takes no record.
test('the wait for the record ends', async () => {
  const {clock, list, task} = await createRunning(['v1']);
  list('v1', 'v2');
  clock.advance(LEASE_MS);
  const origin = {service: SERVICE, softwareVersion: 'v2'};
  const abort = new AbortController();
  const waits = [
    task.origins.waitUntilRecorded(origin, new AbortController().signal),
    task.origins.waitUntilRecorded(origin, abort.signal),
  ];
  abort.abort();
  assert.is(await waits[1], false);
  clock.advance(1_000);
  assert.is(await waits[0], false);
});

// Guards against a record that is deleted by a host that has not seen the other version.
test('a version leaves the record a minute after its last server', async () => {
  const before = await createRunning(['v1', 'v2']);
  const after = createFixture(before.topic, {isFirstStart: false});
  await after.read();
  const {clock, task, topic} = after;
  clock.advance(MINUTE_MS - 1);
  task.updateServers();
  await task.syncRecord();
  assert.equal(await listRecorded(topic), ['v1', 'v2']);
  clock.advance(1);
  task.updateServers();
  await task.syncRecord();
  assert.equal(await listRecorded(topic), ['v1']);
});

// Guards against repeated calls to the store while each service has one version.
test('the record is written once while there is one version', async () => {
  const {clock, list, topic, write} = await createRunning(['v1']);
  for (let minutes = 0; minutes < 5; minutes += 1) {
    clock.advance(MINUTE_MS / 2);
    list('v1');
    await write();
  }
  assert.is(topic.endOffset, 1);
});

test.run();
