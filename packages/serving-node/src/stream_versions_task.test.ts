import {ManualClock} from '@mimosatack/clock';
import {makeEngineEntry} from '@mimosatack/fakes';
import {MemoryKeyedTopic} from '@mimosatack/keyed-store';
import {type BackendServerEntry} from '@mimosatack/types';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
  MIXED_SERVICES_KEY,
  StreamVersionsTask,
} from './stream_versions_task.js';

const test = suite('software versions of streams');

const SERVICE = makeEngineEntry('e1').service;
const MINUTE_MS = 60_000;

function makeServers(...versions: readonly string[]): BackendServerEntry[] {
  return versions.map((softwareVersion, at) => ({
    ...makeEngineEntry(`e${at}`),
    softwareVersion,
  }));
}

function createFixture(topic = new MemoryKeyedTopic()) {
  const clock = new ManualClock();
  let servers = makeServers('v1');
  const task = new StreamVersionsTask({
    ...{clock, topic, isWriter: () => true},
    ...{listServers: () => servers, listHosts: () => []},
    ...{serversAgeMs: () => 0, send: () => undefined},
    ask: () => Promise.resolve(null),
    onFault: error => assert.unreachable(error.message),
  });
  const list = (...versions: readonly string[]) => {
    servers = makeServers(...versions);
    task.updateServers();
  };
  list('v1');
  const resume = () => task.origins.find({stream: null, service: SERVICE});
  return {clock, task, topic, list, resume};
}

async function readRecord(topic: MemoryKeyedTopic) {
  const {records} = await topic.readSnapshot();
  return records.find(({key}) => key === MIXED_SERVICES_KEY)?.value ?? null;
}

// Guards against a host that was suspended and still holds the list of servers from before.
test('a list of servers from before a suspension counts as old', async () => {
  const {clock, task, resume} = createFixture();
  assert.is((await resume()).source, 'only-version');
  clock.suspend(10_000);
  assert.is((await resume()).source, 'unknown');
  clock.advance(3_000);
  task.updateServers();
  assert.is((await resume()).source, 'only-version');
});

// Guards against hosts that all restart at once and see only the version that is left.
test('a host that has started knows that there were other versions', async () => {
  const before = createFixture();
  before.list('v1', 'v2');
  await before.task.syncRecord();
  const after = createFixture(before.topic);
  after.task.applyRecord(await readRecord(before.topic));
  assert.is((await after.resume()).source, 'unknown');
});

// Guards against a record that is deleted by a host that has not seen the other version.
test('the record is deleted a minute after the last server of a version', async () => {
  const before = createFixture();
  before.list('v1', 'v2');
  await before.task.syncRecord();
  const {clock, task, topic} = createFixture(before.topic);
  task.applyRecord(await readRecord(topic));
  clock.advance(MINUTE_MS - 1);
  task.updateServers();
  await task.syncRecord();
  assert.ok(await readRecord(topic));
  clock.advance(1);
  task.updateServers();
  await task.syncRecord();
  assert.is(await readRecord(topic), null);
});

// Guards against calls to the store on days on which each service has one version.
test('nothing is written while there is one version', async () => {
  const {task, topic} = createFixture();
  await task.syncRecord();
  assert.is(topic.endOffset, 0);
});

test.run();
