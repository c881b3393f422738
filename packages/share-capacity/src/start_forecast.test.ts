import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {findClassRate} from './fair_rate.js';
import {type ShareItem} from './share_item.js';
import {type ForecastPool, StartForecast} from './start_forecast.js';

const test = suite('forecast of the start of waiting items');

const POOL: ForecastPool = {
  ...{group: 'm', readyAtMs: 0},
  scopes: [{servers: [{id: 's1', places: 4}], groups: ['m'], aheadCost: 20}],
};

function makeItem(change: Partial<ShareItem> = {}): ShareItem {
  return {
    ...{id: 'r1', team: 'a', priority: 0, cost: 1, dueAtMs: 1e6},
    ...change,
  };
}

/** A forecast for a server whose four places are held for 100 ms per item. */
function makeForecast(): StartForecast {
  const forecast = new StartForecast();
  forecast.recordHeld('s1', 1, 100, 0);
  return forecast;
}

// Guards against refusals by a forecast that nothing was observed for.
test('without data, or with data older than 10 s, there is no forecast', () => {
  assert.is(new StartForecast().find(makeItem(), POOL, 0), null);
  assert.is(makeForecast().find(makeItem(), POOL, 10_001), null);
});

// Guards against forecasts that ignore the number of places.
test('the wait is the cost ahead times the held time by the places', () => {
  const found = makeForecast().find(makeItem(), POOL, 0);
  assert.is(found?.queuedMs, (20.5 * 100) / 4);
});

// Guards against forecasts that stay wrong by more than callers tolerate.
test('observed waits correct the forecast within bounds', () => {
  const forecast = makeForecast();
  const [item, before] = [makeItem(), makeForecast().find(makeItem(), POOL, 0)];
  assert.ok(before);
  for (let count = 0; count < 100; count += 1) {
    forecast.recordWait(item, 'm', before, 100 * before.queuedMs, true, 0);
  }
  const ratio =
    (forecast.find(item, POOL, 0)?.startsAtMs ?? 0) / before.queuedMs;
  assert.ok(ratio > 3.9 && ratio <= 4, `${ratio}`);
});

// Guards against items that wait although later ones of their team always go first.
test('an item that would be late never starts while its team asks for too much', () => {
  const forecast = makeForecast();
  const item = makeItem({dueAtMs: 100});
  for (let nowMs = 0; nowMs < 1_000; nowMs += 10) {
    forecast.recordArrival(['m'], item, nowMs);
  }
  assert.is(forecast.find(item, POOL, 1_000)?.startsAtMs, Infinity);
});

// Guards against callers that all return at the same moment, or too soon.
test('refused callers are told different times, as capacity comes free', () => {
  const forecast = makeForecast();
  const items = Array.from({length: 100}, (_, at) => makeItem({id: `r${at}`}));
  const delaysMs = items.map(item => {
    const found = forecast.find(item, POOL, 0);
    assert.ok(found);
    return forecast.findRetryAfterMs(item, 'm', found, 0);
  });
  assert.is(new Set(delaysMs).size, 100);
  assert.ok(Math.min(...delaysMs) >= 800);
  // There is capacity for 99 more items in 2,475 ms.
  const lastMs = delaysMs[99] ?? 0;
  assert.ok(lastMs >= 3_275 && lastMs <= 4_400, `${lastMs}`);
});

// Guards against teams that are refused although their share has room.
test('each team gets at least its share, and all of them no more than there is', () => {
  const rate = fc.integer({min: 1, max: 100});
  fc.assert(
    fc.property(
      fc.array(rate, {minLength: 1, maxLength: 8}),
      rate,
      (asked, c) => {
        const demands = asked.map((costPerMs, at) => ({
          ...{team: `t${at}`, priority: 0, costPerMs},
        }));
        const got = demands.map(({team, costPerMs}) => {
          const query = {team, priority: 0, demands, capacityPerMs: c};
          const {ratePerMs} = findClassRate({...query, weights: new Map()});
          assert.ok(ratePerMs >= c / asked.length - 1e-9);
          return Math.min(ratePerMs, costPerMs);
        });
        assert.ok(got.reduce((sum, one) => sum + one, 0) <= c + 1e-6);
      },
    ),
  );
});

test.run();
