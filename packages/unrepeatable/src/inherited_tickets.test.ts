import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
  InheritedTickets,
  type RememberedKey,
  makeTicketPages,
} from './index.js';

const FLOOR = 100;

function createKeys(count: number): RememberedKey[] {
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

function createHeir(handed: number | 'all') {
  const heir = new InheritedTickets();
  const pages = makeTicketPages('old', FLOOR, createKeys(500));
  pages
    .slice(0, handed === 'all' ? undefined : handed)
    .forEach(page => assert.ok(heir.takePage(page)));
  const ask = (keyHash: string, generation = FLOOR, requestHash = 'same') =>
    heir.find({incarnation: 'old', generation, keyHash, requestHash}).status;
  return {heir, pages, ask};
}

const test = suite('inherited tickets');

test('a whole table tells what ran and what never will', () => {
  const {ask} = createHeir('all');
  assert.is(ask('k0'), 'unknown');
  assert.is(ask('k499'), 'ran');
  assert.is(ask('k499', FLOOR, 'other'), 'key-reused');
  assert.is(ask('k500'), 'never-run');
  assert.is(ask('k500', FLOOR - 1), 'unknown');
});

test('an incomplete table never says that a key was not run', () => {
  // A node is cut off while it hands its table over. A caller asks the heir
  // for a key on a page that is missing, hears `not-run` and sends it again.
  const {heir, pages, ask} = createHeir(1);
  assert.is(ask('k1'), 'ran');
  assert.is(ask('k499'), 'unknown');
  assert.not(heir.takePage(pages[2]!));
  assert.ok(heir.takePage(pages[0]!));
  assert.is(ask('k499'), 'unknown');
  pages.slice(1).forEach(page => heir.takePage(page));
  assert.is(ask('k499'), 'ran');
});

test('too many keys forget whole tables, oldest first', () => {
  const heir = new InheritedTickets(700);
  ['old', 'new'].forEach(incarnation =>
    makeTicketPages(incarnation, FLOOR, createKeys(500)).forEach(page =>
      heir.takePage(page),
    ),
  );
  const find = (incarnation: string) =>
    heir.find({
      incarnation,
      generation: FLOOR,
      keyHash: 'k1',
      requestHash: 'same',
    }).status;
  assert.is(find('old'), 'no-table');
  assert.is(find('new'), 'ran');
});

test.run();
