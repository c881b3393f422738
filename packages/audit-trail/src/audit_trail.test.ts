import {AgreedState} from '@mimosatack/agreed-state';
import {ManualClock} from '@mimosatack/clock';
import {MemoryLogService, waitUntil} from '@mimosatack/fakes';
import {type RecordBody, encodeBatch} from '@mimosatack/records';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type AuditPage, AuditTrail} from './index.js';

const HOUR_MS = 3_600_000;
const DAY_MS = 24 * HOUR_MS;
const STREAM = 'audit';
const HASH = 'a'.repeat(64);

/** Two nodes that fold the same records, with one log service. */
function createFixture() {
  const log = new MemoryLogService();
  const clock = new ManualClock(100 * DAY_MS);
  const state = new AgreedState();
  const faults: unknown[] = [];
  const createTrail = (incarnation: string, isResponsible: boolean) =>
    new AuditTrail(
      {
        clock,
        log,
        incarnation,
        isResponsible: () => isResponsible,
        settleGraceMs: 60_000,
        copyAfterMs: 6 * HOUR_MS,
        keepMs: 30 * DAY_MS,
      },
      error => faults.push(error),
    );
  const author = createTrail('entry-1.a', false);
  const keeper = createTrail('entry-2.b', true);
  let recordCount = 0;
  const fold = (
    body: RecordBody,
    told: readonly AuditTrail[] = [author, keeper],
    recordId = `record-${recordCount++}`,
  ) => {
    const record = {
      recordId,
      author: 'entry-1.a',
      basisSequence: state.sequence,
      writtenAtMs: clock.wallMs(),
      operator: 'zorza/ola',
      reason: 'a wider window',
      body,
    };
    const folded = state.foldAppend(state.nextOffset, encodeBatch([record]));
    told.forEach(trail => trail.note(folded));
  };
  const whenStored = (count: number) =>
    waitUntil('the append', () => log.count(STREAM) === count);
  return {log, clock, author, keeper, createTrail, fold, faults, whenStored};
}

function putTeam(expectedVersion: number, content = {}): RecordBody {
  return {
    type: 'put-document',
    kind: 'team',
    id: 'zorza',
    expectedVersion,
    content,
  };
}

function listSequences(page: AuditPage): number[] {
  return page.items.map(entry => entry.sequence);
}

const trail = suite('audit trail');

trail('says who changed what, when, why, before and after', async () => {
  const {author, fold, clock, whenStored} = createFixture();
  fold(putTeam(0, {displayName: 'Zorza'}));
  fold(putTeam(1, {displayName: 'Zorza Obserwatorów'}));
  fold(putTeam(1, {displayName: 'too late'}));
  await whenStored(1);
  const page = await author.find({kind: 'team', id: 'zorza', limit: 10});
  assert.ok(page.isComplete);
  assert.equal(
    page.items.map(({before, after, outcome}) => [
      before?.['displayName'],
      after?.['displayName'],
      outcome.status === 'void' ? outcome.reason : 'valid',
    ]),
    [
      ['Zorza Obserwatorów', 'too late', 'version-conflict'],
      ['Zorza', 'Zorza Obserwatorów', 'valid'],
      [undefined, 'Zorza', 'valid'],
    ],
  );
  const [newest] = page.items;
  assert.is(newest?.operator, 'zorza/ola');
  assert.is(newest?.reason, 'a wider window');
  assert.is(newest?.writtenAtMs, clock.wallMs());
});

trail('hashes of tokens are redacted, and a new one is marked', async () => {
  const {author, fold} = createFixture();
  const token = {name: 'app', role: 'caller'};
  fold(putTeam(0, {tokens: [{...token, tokenHash: HASH}]}));
  fold(putTeam(1, {tokens: [{...token, tokenHash: 'b'.repeat(64)}]}));
  const page = await author.find({limit: 1});
  assert.equal(page.items[0]?.before, {
    tokens: [{...token, tokenHash: '(redacted)'}],
  });
  assert.equal(page.items[0]?.after, {
    tokens: [{...token, tokenHash: '(redacted; changed)'}],
  });
});

trail('pages go back in time, and filters hold across them', async () => {
  const {author, fold} = createFixture();
  [0, 1, 2, 3].forEach(version => fold(putTeam(version)));
  fold({
    type: 'put-document',
    kind: 'service',
    id: 'app',
    expectedVersion: 0,
    content: {pool: 'app-front', calls: {}},
  });
  const first = await author.find({kind: 'team', limit: 3});
  assert.equal(listSequences(first), [4, 3, 2]);
  const beforeSequence = first.nextBeforeSequence ?? undefined;
  const second = await author.find({kind: 'team', limit: 3, beforeSequence});
  assert.equal(listSequences(second), [1]);
  assert.is(second.nextBeforeSequence, null);
});

/**
 * The author of a change appends its record, the answer is lost, and it
 * appends the record again. An operator must see one change, not two.
 */
trail('a record that was appended twice is one entry', async () => {
  const {author, fold} = createFixture();
  fold(putTeam(0), [author], 'record-twice');
  fold(putTeam(0), [author], 'record-twice');
  assert.equal(listSequences(await author.find({limit: 10})), [1]);
});

/**
 * The node that took a change dies right after the change is in force and
 * before its entry is written. Without a second writer the change would never
 * show in the trail once the decisions are trimmed.
 */
trail('the entry of an author that died is added by another node', async () => {
  const {keeper, createTrail, fold, clock, whenStored} = createFixture();
  fold(putTeam(0), [keeper]);
  clock.advance(60_000);
  keeper.post({type: 'settle'});
  await whenStored(1);
  const page = await createTrail('entry-3.c', false).find({limit: 10});
  assert.equal(listSequences(page), [1]);
  assert.is(keeper.pendingCount, 0);
});

/**
 * The log service is down while an operator asks what changed. The answer
 * must come from memory and say that it may not be all.
 */
trail('with the log down memory answers and says so', async () => {
  const {author, fold, log, whenStored} = createFixture();
  fold(putTeam(0));
  await whenStored(1);
  log.setDown(true);
  const page = await author.find({limit: 10});
  assert.equal(listSequences(page), [1]);
  assert.not(page.isComplete);
  assert.is(page.error?.kind, 'platform-unavailable');
});

/**
 * The log service goes down between a change and the append of its entry. The
 * entry must be there once the log is back, and the outage is no fault of the
 * task that a person would have to look at.
 */
trail('an entry that could not be stored is stored later', async () => {
  const {author, fold, faults, log, whenStored} = createFixture();
  log.setDown(true);
  fold(putTeam(0), [author]);
  await author.flush();
  assert.is(author.pendingCount, 1);
  log.setDown(false);
  author.post({type: 'settle'});
  await whenStored(1);
  assert.equal(faults, []);
});

/**
 * The log keeps records for some days. A change made a month ago would be
 * gone from the trail by then: its segment is trimmed with its neighbours
 * unless it was appended again before.
 */
trail('entries are copied forward before the log trims them', async () => {
  const {createTrail, keeper, fold, clock, log, whenStored} = createFixture();
  fold(putTeam(0));
  fold(putTeam(1));
  await whenStored(1);
  clock.advance(7 * HOUR_MS);
  keeper.post({type: 'copy'});
  await whenStored(2);
  keeper.post({type: 'copy'});
  await keeper.stop();
  assert.is(log.count(STREAM), 2);
  log.trim(STREAM, 1);
  const newcomer = createTrail('entry-3.c', false);
  assert.equal(listSequences(await newcomer.find({limit: 10})), [2, 1]);
});

trail('entries older than the limit are not kept', async () => {
  const {author, keeper, fold, clock, log, whenStored} = createFixture();
  fold(putTeam(0), [author]);
  await whenStored(1);
  clock.advance(31 * DAY_MS);
  keeper.post({type: 'copy'});
  await keeper.stop();
  assert.is(log.count(STREAM), 1);
});

trail('bytes in the stream that are no segment are passed over', async () => {
  const {author, fold, log, whenStored} = createFixture();
  await log.append(STREAM, new Uint8Array([1, 2, 3]));
  fold(putTeam(0));
  await whenStored(2);
  const page = await author.find({limit: 10});
  assert.ok(page.isComplete);
  assert.equal(listSequences(page), [1]);
});

trail.run();
