import {createHash} from 'node:crypto';
import {AgreedState} from '@mimosatack/agreed-state';
import {
  type LogPage,
  type LogReadRequest,
  type LogService,
} from '@mimosatack/platform';
import {encodeBatch} from '@mimosatack/records';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {CheckpointStore} from './checkpoint_store.js';
import {decodePart, encodeCheckpoint} from './checkpoint_parts.js';

/** A log service with one in-memory stream. */
class MemoryStream implements LogService {
  appends: Uint8Array[] = [];
  /** The number of appends that succeed before the writer crashes. */
  appendsLeft = Infinity;

  append(_stream: string, data: Uint8Array): Promise<number> {
    if (this.appendsLeft <= 0) return Promise.reject(new Error('crashed'));
    this.appendsLeft -= 1;
    this.appends.push(data);
    return Promise.resolve(this.appends.length - 1);
  }

  read({from, limit}: LogReadRequest): Promise<LogPage> {
    return Promise.resolve({
      firstOffset: 0,
      nextOffset: this.appends.length,
      records: this.appends
        .slice(from, from + limit)
        .map((data, index) => ({offset: from + index, data})),
    });
  }
}

function makeState(teams: number, nameLength = 0): AgreedState {
  const state = new AgreedState();
  Array.from({length: teams}, (_unused, index) => index).forEach(index => {
    const displayName = hashText(index).slice(0, nameLength);
    const record = {
      recordId: `record-${index}`,
      author: 'node-1.aaaaaaaa',
      basisSequence: index,
      writtenAtMs: 0,
      operator: null,
      reason: null,
      body: {
        type: 'put-document' as const,
        kind: 'team' as const,
        id: `team-${index}`,
        expectedVersion: 0,
        content: {displayName},
      },
    };
    state.foldAppend(index, encodeBatch([record]));
  });
  return state;
}

/** Incompressible text, so that a checkpoint has several parts. */
function hashText(index: number): string {
  return ['a', 'b']
    .map(salt =>
      createHash('sha512').update(`${salt}${index}`).digest('base64'),
    )
    .join('');
}

const store = suite('checkpoint store');

store('reads the newest state', async () => {
  const stream = new MemoryStream();
  const checkpoints = new CheckpointStore(stream, 'checkpoints');
  assert.is(await checkpoints.readNewest(), null);
  await checkpoints.write(makeState(1));
  await checkpoints.write(makeState(3));
  const state = await checkpoints.readNewest();
  assert.is(state?.digest(), makeState(3).digest());
});

store('encodes equal states to equal bytes', async () => {
  const [first, second] = await Promise.all([
    encodeCheckpoint(makeState(5)),
    encodeCheckpoint(makeState(5)),
  ]);
  assert.equal(first, second);
});

// Guards against reading a partial checkpoint, or none at all, after a writer
// crashed between two parts.
store('skips an incomplete checkpoint', async () => {
  const stream = new MemoryStream();
  const checkpoints = new CheckpointStore(stream, 'checkpoints');
  await checkpoints.write(makeState(2));
  const large = makeState(3000, 170);
  const parts = await encodeCheckpoint(large);
  assert.ok(parts.length > 1, `${parts.length} part`);
  stream.appendsLeft = parts.length - 1;
  await checkpoints.write(large).catch(() => undefined);
  const state = await checkpoints.readNewest();
  assert.is(state?.digest(), makeState(2).digest());
});

// Guards against mixing up the interleaved parts of two concurrent writers.
store('assembles interleaved parts of two writers', async () => {
  const stream = new MemoryStream();
  const older = await encodeCheckpoint(makeState(2900, 170));
  const newer = await encodeCheckpoint(makeState(3000, 170));
  stream.appends = newer.flatMap((part, index) => [
    part,
    ...(older[index] ? [older[index]] : []),
  ]);
  const state = await new CheckpointStore(stream, 'c').readNewest();
  assert.is(state?.digest(), makeState(3000, 170).digest());
});

// Guards against loading a corrupted checkpoint instead of the previous one.
store('skips a corrupted checkpoint', async () => {
  const stream = new MemoryStream();
  const checkpoints = new CheckpointStore(stream, 'checkpoints');
  await checkpoints.write(makeState(1));
  const [part] = await encodeCheckpoint(makeState(2));
  part![part!.length - 3]! ^= 1;
  stream.appends.push(part!, new Uint8Array([1, 2, 3]));
  assert.is(decodePart(new Uint8Array([1, 2, 3])), null);
  const state = await checkpoints.readNewest();
  assert.is(state?.digest(), makeState(1).digest());
});

store.run();
