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

/** Two nodes that fold the same records and share one log service. */
function createFixture() {
  const log = new MemoryLogService();
  const clock = new ManualClock(100 * DAY_MS);
  const state = new AgreedState();
  const taskErrors: unknown[] = [];
  const createTrail = (incarnation: string, isResponsible: boolean) =>
    new AuditTrail(
      {
        clock,
        log,
        incarnation,
        isResponsible: () => isResponsible,
        missingEntryGraceMs: 60_000,
        copyAfterMs: 6 * HOUR_MS,
        retentionMs: 30 * DAY_MS,
      },
      error => taskErrors.push(error),
    );
  const author = createTrail('entry-1.a', false);
  const maintainer = createTrail('entry-2.b', true);
  let recordCount = 0;
  const fold = (
    body: RecordBody,
    trails: readonly AuditTrail[] = [author, maintainer],
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
    trails.forEach(trail => trail.recordChanges(folded));
  };
  const waitForAppends = (count: number) =>
    waitUntil('the append', () => log.countRecords(STREAM) === count);
  return {
    log,
    clock,
    author,
    maintainer,
    createTrail,
    fold,
    taskErrors,
    waitForAppends,
  };
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

trail('records operator, time, reason and content of each change', async () => {
  const {author, fold, clock, waitForAppends} = createFixture();
  fold(putTeam(0, {displayName: 'Zorza'}));
  fold(putTeam(1, {displayName: 'Zorza Obserwatorów'}));
  fold(putTeam(1, {displayName: 'too late'}));
  await waitForAppends(1);
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

trail('token hashes are redacted and changed ones are marked', async () => {
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

trail('pages go back in time and keep the filter', async () => {
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

// Guards against a duplicate entry when a record is appended again after the
// response to its first append was lost.
trail('a record that was appended twice yields one entry', async () => {
  const {author, fold} = createFixture();
  fold(putTeam(0), [author], 'record-twice');
  fold(putTeam(0), [author], 'record-twice');
  assert.equal(listSequences(await author.find({limit: 10})), [1]);
});

// Guards against a missing entry when the author crashes after its change is in
// force but before the entry is written.
trail('the entry of a crashed author is added by another node', async () => {
  const {maintainer, createTrail, fold, clock, waitForAppends} =
    createFixture();
  fold(putTeam(0), [maintainer]);
  clock.advance(60_000);
  maintainer.post({type: 'settle'});
  await waitForAppends(1);
  const page = await createTrail('entry-3.c', false).find({limit: 10});
  assert.equal(listSequences(page), [1]);
  assert.is(maintainer.pendingCount, 0);
});

// Guards against a failed or supposedly complete search during a log outage.
trail('during a log outage a search returns entries from memory', async () => {
  const {author, fold, log, waitForAppends} = createFixture();
  fold(putTeam(0));
  await waitForAppends(1);
  log.setDown(true);
  const page = await author.find({limit: 10});
  assert.equal(listSequences(page), [1]);
  assert.not(page.isComplete);
  assert.is(page.error?.kind, 'platform-unavailable');
});

// Guards against an entry that is lost, or an outage that is reported as a task
// error, when the log service fails before the entry is appended.
trail('an entry that could not be stored is stored later', async () => {
  const {author, fold, taskErrors, log, waitForAppends} = createFixture();
  log.setDown(true);
  fold(putTeam(0), [author]);
  await author.flush();
  assert.is(author.pendingCount, 1);
  log.setDown(false);
  author.post({type: 'settle'});
  await waitForAppends(1);
  assert.equal(taskErrors, []);
});

// Guards against the loss of entries that are younger than the audit retention
// but older than the retention of the log.
trail('entries are copied forward before the log trims them', async () => {
  const {createTrail, maintainer, fold, clock, log, waitForAppends} =
    createFixture();
  fold(putTeam(0));
  fold(putTeam(1));
  await waitForAppends(1);
  clock.advance(7 * HOUR_MS);
  maintainer.post({type: 'copy'});
  await waitForAppends(2);
  maintainer.post({type: 'copy'});
  await maintainer.stop();
  assert.is(log.countRecords(STREAM), 2);
  log.trim(STREAM, 1);
  const lateTrail = createTrail('entry-3.c', false);
  assert.equal(listSequences(await lateTrail.find({limit: 10})), [2, 1]);
});

trail('entries older than the retention are not copied', async () => {
  const {author, maintainer, fold, clock, log, waitForAppends} =
    createFixture();
  fold(putTeam(0), [author]);
  await waitForAppends(1);
  clock.advance(31 * DAY_MS);
  maintainer.post({type: 'copy'});
  await maintainer.stop();
  assert.is(log.countRecords(STREAM), 1);
});

trail('invalid segments in the stream are skipped', async () => {
  const {author, fold, log, waitForAppends} = createFixture();
  await log.append(STREAM, new Uint8Array([1, 2, 3]));
  fold(putTeam(0));
  await waitForAppends(2);
  const page = await author.find({limit: 10});
  assert.ok(page.isComplete);
  assert.equal(listSequences(page), [1]);
});

trail.run();
