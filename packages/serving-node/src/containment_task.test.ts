import {ManualClock} from '@mimosatack/clock';
import {type TypedError} from '@mimosatack/errors';
import {MemoryKeyedTopic} from '@mimosatack/keyed-store';
import {MemoryEventLogger} from '@mimosatack/logger';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {CONTAINED_KEY, ContainmentTask} from './containment_task.js';

const test = suite('record of contained requests');

function makeTask(
  topic: MemoryKeyedTopic,
  isWriter = true,
  clock = new ManualClock(),
) {
  const faults: TypedError[] = [];
  const task = new ContainmentTask({
    ...{clock, logger: new MemoryEventLogger(), topic},
    ...{incarnation: 'n1', askHolder: () => Promise.resolve(null)},
    tellHolder: () => undefined,
    ...{isWriter: () => isWriter, onFault: error => faults.push(error)},
  });
  return {task, faults};
}

function contain({containment}: ContainmentTask): void {
  ['a', 'b', 'c'].forEach(life =>
    containment.recordConnectionLoss({fingerprint: 'bad', parts: []}, life),
  );
}

async function readRecord(topic: MemoryKeyedTopic) {
  const {records} = await topic.readSnapshot();
  return records.find(({key}) => key === CONTAINED_KEY)?.value ?? null;
}

test('nothing is written while no request is contained', async () => {
  const topic = new MemoryKeyedTopic();
  const {task} = makeTask(topic);
  task.containment.recordConnectionLoss({fingerprint: 'once', parts: []}, 'a');
  await task.syncRecord();
  assert.is(topic.endOffset, 0);
});

test('a new node contains the requests that another node has recorded', async () => {
  const topic = new MemoryKeyedTopic();
  const {task} = makeTask(topic);
  contain(task);
  await task.syncRecord();
  await task.syncRecord();
  assert.is(topic.endOffset, 1);
  const {task: started} = makeTask(topic);
  started.applyRecord(await readRecord(topic));
  assert.ok(started.containment.isContained('bad'));
  await started.syncRecord();
  assert.is(topic.endOffset, 1);
});

// Guards against a call at each heartbeat while the store is away.
test('nothing is written while the store is known to be away', async () => {
  const topic = new MemoryKeyedTopic();
  const {task} = makeTask(topic);
  contain(task);
  topic.isDown = true;
  for (let beat = 0; beat < 20; beat += 1) await task.syncRecord();
  assert.is(topic.appendCount, 2);
  topic.isDown = false;
  topic.contact.recordAnswer();
  await task.syncRecord();
  assert.is(topic.endOffset, 1);
});

test('only the writer writes the record', async () => {
  const topic = new MemoryKeyedTopic();
  const {task} = makeTask(topic, false);
  contain(task);
  await task.syncRecord();
  assert.is(topic.endOffset, 0);
});

test('the record is deleted once no request is contained', async () => {
  const topic = new MemoryKeyedTopic();
  const {task} = makeTask(topic);
  contain(task);
  await task.syncRecord();
  task.containment.recordSuccess(['bad']);
  await task.syncRecord();
  assert.is(await readRecord(topic), null);
});

// Guards against losing contained requests to a record of another writer.
test('an undecodable record is reported and changes nothing', async () => {
  const {task, faults} = makeTask(new MemoryKeyedTopic());
  contain(task);
  task.applyRecord(Buffer.from('{"bad":'));
  assert.ok(task.containment.isContained('bad'));
  assert.equal(
    faults.map(({kind}) => kind),
    ['record-invalid'],
  );
});

// Guards against losing the record when the store is unavailable.
test('a failed write is retried', async () => {
  const topic = new MemoryKeyedTopic();
  const {task, faults} = makeTask(topic);
  topic.isDown = true;
  contain(task);
  await task.syncRecord();
  assert.is(faults.length, 1);
  topic.isDown = false;
  await task.syncRecord();
  assert.is.not(await readRecord(topic), null);
});

// Guards against a record that is lost with the store's last records and never written again.
test('the record is written again after a copy without it came back', async () => {
  const topic = new MemoryKeyedTopic();
  const {task} = makeTask(topic);
  contain(task);
  const written = task.syncRecord();
  topic.restore(0);
  task.noteStored(null);
  await written;
  await task.syncRecord();
  assert.is.not(await readRecord(topic), null);
});

// Guards against containing again what was served since the copy was made.
test('the record of a copy contains nothing and is replaced', async () => {
  const topic = new MemoryKeyedTopic();
  const clock = new ManualClock();
  const {task} = makeTask(topic, true, clock);
  contain(task);
  await task.syncRecord();
  const old = await readRecord(topic);
  task.containment.recordSuccess(['bad']);
  await task.syncRecord();
  clock.advance(1);
  topic.restore(1);
  task.noteStored(old);
  assert.not(task.containment.isContained('bad'));
  await task.syncRecord();
  assert.is(await readRecord(topic), null);
});

test.run();
