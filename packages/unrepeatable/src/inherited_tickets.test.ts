import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
  InheritedTickets,
  type FinishedKeyRecord,
  makeTicketPages,
} from './index.js';

const FLOOR = 100;

function createKeys(count: number): FinishedKeyRecord[] {
  return Array.from({length: count}, (_, index) => ({
    keyHash: `k${index}`,
    requestHash: 'same',
    generation: FLOOR,
    ...(index === 0
      ? {outcome: 'unknown' as const}
      : {
          outcome: 'ran' as const,
          answer: {
            statusCode: 200,
            contentType: 'text/plain',
            body: Buffer.from(String(index)),
          },
        }),
  }));
}

function createFixture(pageCount: number | 'all') {
  const tickets = new InheritedTickets();
  const pages = makeTicketPages('old', FLOOR, createKeys(500));
  pages
    .slice(0, pageCount === 'all' ? undefined : pageCount)
    .forEach(page => assert.ok(tickets.addPage(page)));
  const findStatus = (
    keyHash: string,
    generation = FLOOR,
    requestHash = 'same',
  ) =>
    tickets.find({incarnation: 'old', generation, keyHash, requestHash}).status;
  return {tickets, pages, findStatus};
}

const test = suite('inherited tickets');

test('a complete table reports which keys ran and which never did', () => {
  const {findStatus} = createFixture('all');
  assert.is(findStatus('k0'), 'unknown');
  assert.is(findStatus('k499'), 'ran');
  assert.is(findStatus('k499', FLOOR, 'other'), 'key-reused');
  assert.is(findStatus('k500'), 'never-run');
  assert.is(findStatus('k500', FLOOR - 1), 'unknown');
});

test('an incomplete table never reports a key as not run', () => {
  // Guards against a second run of a key on a page that was lost in the transfer
  // of the table.
  const {tickets, pages, findStatus} = createFixture(1);
  assert.is(findStatus('k1'), 'ran');
  assert.is(findStatus('k499'), 'unknown');
  assert.not(tickets.addPage(pages[2]!));
  assert.ok(tickets.addPage(pages[0]!));
  assert.is(findStatus('k499'), 'unknown');
  pages.slice(1).forEach(page => tickets.addPage(page));
  assert.is(findStatus('k499'), 'ran');
});

test('whole tables are evicted, oldest first, above the key limit', () => {
  const tickets = new InheritedTickets(700);
  ['old', 'new'].forEach(incarnation =>
    makeTicketPages(incarnation, FLOOR, createKeys(500)).forEach(page =>
      tickets.addPage(page),
    ),
  );
  const find = (incarnation: string) =>
    tickets.find({
      incarnation,
      generation: FLOOR,
      keyHash: 'k1',
      requestHash: 'same',
    }).status;
  assert.is(find('old'), 'no-table');
  assert.is(find('new'), 'ran');
});

test.run();
