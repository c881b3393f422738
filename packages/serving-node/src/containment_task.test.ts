/** What the store keeps of contained requests, and who writes it. */
import {ManualClock} from '@mimosatack/clock';
import {type TypedError} from '@mimosatack/errors';
import {MemoryKeyedTopic} from '@mimosatack/keyed-store';
import {MemoryEventLogger} from '@mimosatack/logger';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {CONTAINED_KEY, ContainmentTask} from './containment_task.js';

const test = suite('record of what is contained');

function makeTask(topic: MemoryKeyedTopic, isWriter = true) {
  const faults: TypedError[] = [];
  const task = new ContainmentTask({
    ...{clock: new ManualClock(), logger: new MemoryEventLogger(), topic},
    ...{isWriter: () => isWriter, onFault: error => faults.push(error)},
  });
  return {task, faults};
}

function contain({containment}: ContainmentTask): void {
  ['a', 'b', 'c'].forEach(life => containment.noteCut('bad', life));
}

async function readRecord(topic: MemoryKeyedTopic) {
  const {records} = await topic.readNewest();
  return records.find(({key}) => key === CONTAINED_KEY)?.value ?? null;
}

test('nothing is written while nothing is contained', async () => {
  const topic = new MemoryKeyedTopic();
  const {task} = makeTask(topic);
  task.containment.noteCut('once', 'a');
  await task.look();
  assert.is(topic.endOffset, 0);
});

test('a node that starts contains what another one has written', async () => {
  const topic = new MemoryKeyedTopic();
  const {task} = makeTask(topic);
  contain(task);
  await task.look();
  await task.look();
  assert.is(topic.endOffset, 1);
  const {task: started} = makeTask(topic);
  started.take(await readRecord(topic));
  assert.ok(started.containment.isContained('bad'));
  await started.look();
  assert.is(topic.endOffset, 1);
});

test('one node writes for all', async () => {
  const topic = new MemoryKeyedTopic();
  const {task} = makeTask(topic, false);
  contain(task);
  await task.look();
  assert.is(topic.endOffset, 0);
});

test('the record goes once nothing is contained any more', async () => {
  const topic = new MemoryKeyedTopic();
  const {task} = makeTask(topic);
  contain(task);
  await task.look();
  task.containment.noteServed('bad');
  await task.look();
  assert.is(await readRecord(topic), null);
});

/* Somebody else has written there; what is known must stand, and be told. */
test('a record of another form is told and changes nothing', async () => {
  const {task, faults} = makeTask(new MemoryKeyedTopic());
  contain(task);
  task.take(Buffer.from('{"bad":'));
  assert.ok(task.containment.isContained('bad'));
  assert.equal(
    faults.map(({kind}) => kind),
    ['record-invalid'],
  );
});

/* The store is away when the third server ends; it must not be forgotten. */
test('a write that fails is made up for', async () => {
  const topic = new MemoryKeyedTopic();
  const {task, faults} = makeTask(topic);
  topic.isDown = true;
  contain(task);
  await task.look();
  assert.is(faults.length, 1);
  topic.isDown = false;
  await task.look();
  assert.is.not(await readRecord(topic), null);
});

test.run();
