import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {DeficitRoundRobin} from './deficit_round_robin.js';
import {type FairOrder} from './fair_order.js';
import {type ShareItem} from './share_item.js';
import {VirtualCounters} from './virtual_counters.js';

const test = suite('fair order between teams');

const ORDERS: ReadonlyArray<() => FairOrder<ShareItem>> = [
  () => new VirtualCounters(),
  () => new DeficitRoundRobin(10),
];

function makeItem(
  id: string,
  team: string,
  change: Partial<ShareItem> = {},
): ShareItem {
  return {id, team, priority: 0, cost: 1, dueAtMs: 1_000, ...change};
}

function addItems(
  order: FairOrder<ShareItem>,
  team: string,
  count: number,
  change: Partial<ShareItem> = {},
): void {
  for (let index = 0; index < count; index += 1) {
    order.add(makeItem(`${team}.${index}`, team, change));
  }
}

/** Starts at most `count` items and returns them. */
function start(order: FairOrder<ShareItem>, count: number, nowMs = 0) {
  const started: ShareItem[] = [];
  order.startEach(nowMs, item => {
    if (started.length >= count) return false;
    started.push(item);
    return true;
  });
  return started;
}

const countOf = (items: readonly ShareItem[], team: string) =>
  items.filter(item => item.team === team).length;

// Guards against a team whose many requests keep those of other teams waiting.
test('a team that sends ten times as much gets no more than its share', () => {
  ORDERS.forEach(makeOrder => {
    const order = makeOrder();
    addItems(order, 'large', 100);
    addItems(order, 'small', 10);
    const started = Array.from({length: 20}, () => start(order, 1)).flat();
    assert.is(countOf(started, 'small'), 10, order.name);
  });
});

// Guards against shares by the number of requests, which favor teams with long ones.
test('shares are counted in cost and by weight', () => {
  ORDERS.forEach(makeOrder => {
    const order = makeOrder();
    order.setWeights(new Map([['heavy', 2]]));
    addItems(order, 'heavy', 100, {cost: 4});
    addItems(order, 'light', 100, {cost: 1});
    const started = Array.from({length: 60}, () => start(order, 1)).flat();
    const cost = (team: string) =>
      started
        .filter(item => item.team === team)
        .reduce((sum, item) => sum + item.cost, 0);
    const ratio = cost('heavy') / cost('light');
    assert.ok(ratio > 1.7 && ratio < 2.4, `${order.name}: ${ratio}`);
  });
});

// Guards against credit for a time without requests, which would delay all other teams.
test('a team that sent nothing for a while gets its share and no more', () => {
  const order = new VirtualCounters<ShareItem>();
  addItems(order, 'steady', 100);
  start(order, 50);
  addItems(order, 'late', 50);
  assert.is(countOf(start(order, 20), 'late'), 10);
});

// Guards against a charge for capacity that nobody else wanted.
test('a team that was alone is not charged for it once others come', () => {
  const order = new VirtualCounters<ShareItem>();
  addItems(order, 'alone', 100);
  start(order, 90);
  addItems(order, 'other', 10);
  assert.is(countOf(start(order, 10), 'alone'), 5);
});

// Guards against urgent requests that wait behind less urgent ones or late ones.
test('within a team urgent items go first, and late ones last', () => {
  const order = new VirtualCounters<ShareItem>();
  order.add(makeItem('late', 'a', {dueAtMs: 10}));
  order.add(makeItem('draft', 'a', {priority: 2, dueAtMs: 500}));
  order.add(makeItem('second', 'a', {dueAtMs: 400}));
  order.add(makeItem('first', 'a', {dueAtMs: 300}));
  const ids = order.list(100).map(({id}) => id);
  assert.equal(ids, ['first', 'second', 'draft', 'late']);
});

// Guards against a less urgent kind that never runs while urgent requests keep coming.
test('a less urgent priority keeps a tenth of its team while it waits', () => {
  const order = new VirtualCounters<ShareItem>();
  addItems(order, 'a', 300);
  for (let index = 0; index < 100; index += 1) {
    order.add(makeItem(`draft.${index}`, 'a', {priority: 2}));
  }
  const started = Array.from({length: 200}, () => start(order, 1)).flat();
  const drafts = started.filter(({priority}) => priority === 2).length;
  assert.ok(drafts >= 18 && drafts <= 22, `${drafts} drafts`);
});

const itemArbitrary = fc.record({
  team: fc.constantFrom('a', 'b', 'c', 'd'),
  priority: fc.integer({min: 0, max: 2}),
  cost: fc.integer({min: 1, max: 20}),
  dueAtMs: fc.integer({min: 0, max: 100}),
});

// Guards against items that are lost, offered twice or left although there is capacity.
test('each pass offers each waiting item once, and starts what it can', () => {
  ORDERS.forEach(makeOrder =>
    fc.assert(
      fc.property(
        fc.array(itemArbitrary, {maxLength: 40}),
        fc.integer({min: 0, max: 40}),
        (specs, capacity) => {
          const order = makeOrder();
          specs.forEach((spec, at) => order.add({...spec, id: String(at)}));
          const offered: string[] = [];
          const listed = order.list(50).map(({id}) => id);
          order.startEach(50, ({id}) => offered.push(id) <= capacity);
          assert.is(new Set(offered).size, specs.length);
          assert.is(offered.length, specs.length);
          assert.is(new Set(listed).size, specs.length);
          assert.is(order.size, Math.max(0, specs.length - capacity));
        },
      ),
    ),
  );
});

// Guards against a share that depends on the order or the sizes of other teams' requests.
test('teams that always wait get the same cost, but for one item', () => {
  const costs = fc.array(fc.integer({min: 1, max: 20}), {
    ...{minLength: 60, maxLength: 60},
  });
  fc.assert(
    fc.property(costs, costs, costs, (...byTeam) => {
      const order = new VirtualCounters<ShareItem>();
      byTeam.forEach((teamCosts, team) =>
        teamCosts.forEach((cost, at) =>
          order.add(makeItem(`${team}.${at}`, `team-${team}`, {cost})),
        ),
      );
      const used = [0, 0, 0];
      for (let count = 0; count < 60; count += 1) {
        const [item] = start(order, 1);
        const team = Number(item?.team.slice(-1));
        used[team] = (used[team] ?? 0) + (item?.cost ?? 0);
      }
      assert.ok(Math.max(...used) - Math.min(...used) <= 20, used.join());
    }),
  );
});

test.run();
