import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
  CompletionEstimate,
  type EstimatedServer,
} from './completion_estimate.js';

const test = suite('completion estimate');

function makeServer(change: Partial<EstimatedServer> = {}): EstimatedServer {
  return {
    ...{id: 's1', startedAtMs: 1, failureDomain: 'a', slots: 8},
    ...change,
  };
}

/** Requests one after the other that each take the time. */
function serve(
  estimate: CompletionEstimate,
  server: EstimatedServer,
  tookMs: number,
  end: 'completed' | 'failed' = 'completed',
  count = 60,
) {
  Array.from({length: count}, (_, index) => {
    const sent = estimate.recordSent(server, index * tookMs);
    estimate.recordEnd(sent, end, (index + 1) * tookMs);
  });
}

function makeLoad(slowdownPercent: number | null, running = 0) {
  return {running, waiting: 0, slowdownPercent};
}

const fast = makeServer({id: 'fast'});
const slow = makeServer({id: 'slow'});

// Guards against uneven servers that count as equal.
test('servers are as late as their speeds make them', () => {
  const estimate = new CompletionEstimate();
  serve(estimate, fast, 60);
  serve(estimate, slow, 200);
  const ratio = estimate.findMs(slow, 0) / estimate.findMs(fast, 0);
  assert.ok(ratio > 3 && ratio < 3.6, String(ratio));
});

// Guards against a new server that gets all requests or none.
test('a server of unknown speed counts as the mean', () => {
  const estimate = new CompletionEstimate();
  serve(estimate, fast, 60);
  serve(estimate, slow, 200);
  const newMs = estimate.findMs(makeServer({id: 'new'}), 0);
  assert.ok(newMs > estimate.findMs(fast, 0));
  assert.ok(newMs < estimate.findMs(slow, 0));
});

// Guards against a figure that outlasts a slowdown of some 100 ms.
test('a slowdown counts at once and decays within 300 ms', () => {
  const estimate = new CompletionEstimate({connectionSetupMs: 0});
  serve(estimate, fast, 100);
  estimate.recordLoad(fast, makeLoad(250), 10_000);
  const atMs = [0, 150, 300].map(afterMs =>
    Math.round(estimate.findMs(fast, 10_000 + afterMs)),
  );
  assert.equal(atMs, [250, 175, 100]);
});

// Guards against figures that are wrong, missing or made up.
test('a figure out of bounds is as none', () => {
  const unusable = fc.oneof(
    fc.double({max: 9.99, noNaN: true}),
    fc.double({min: 2_000.01, noNaN: true}),
    fc.constantFrom(null, NaN),
  );
  fc.assert(
    fc.property(unusable, percent => {
      const estimate = new CompletionEstimate();
      estimate.recordLoad(fast, makeLoad(percent), 0);
      assert.not(estimate.hasSlowdownFigures);
      serve(estimate, slow, 100);
      assert.is(estimate.findMs(fast, 0), estimate.findMs(slow, 0) + 1);
    }),
  );
});

// Guards against a server that draws requests by a figure that is always low.
test('a figure that is always false is learned as speed', () => {
  const estimate = new CompletionEstimate();
  serve(estimate, slow, 100);
  Array.from({length: 60}, (_, index) => {
    const sent = estimate.recordSent(fast, index * 100);
    estimate.recordLoad(fast, makeLoad(50), (index + 1) * 100);
    estimate.recordEnd(sent, 'completed', (index + 1) * 100);
  });
  assert.ok(estimate.findMs(fast, 6_000) > 0.9 * estimate.findMs(slow, 6_000));
});

// Guards against a server that appears fast since it fails or rejects at once.
test('failures show no speed, and the server is avoided', () => {
  const estimate = new CompletionEstimate();
  serve(estimate, slow, 100);
  serve(estimate, fast, 1, 'failed');
  assert.ok(estimate.findMs(fast, 60) >= estimate.findMs(slow, 60));
  assert.ok(estimate.isAvoided(fast, 60));
  assert.not(estimate.isAvoided(fast, 600));
});

// Guards against the speed of an earlier incarnation on another machine.
test('a later incarnation starts as the mean', () => {
  const estimate = new CompletionEstimate();
  serve(estimate, fast, 60);
  serve(estimate, slow, 200);
  const restarted = {...slow, startedAtMs: 2};
  assert.ok(estimate.findMs(restarted, 0) < 0.8 * 200);
  serve(estimate, restarted, 60);
  serve(estimate, slow, 900, 'completed', 1);
  assert.ok(estimate.findMs(restarted, 0) < 100);
});

// Guards against slots that a server offers and cannot work on at once.
test('a server that is congested below its slots is filled no further', () => {
  const estimate = new CompletionEstimate({connectionSetupMs: 0});
  const placesInTruth = 4;
  Array.from({length: 800}, (_, index) => {
    const running = index % 8;
    const nowMs = index * 1_000;
    estimate.recordLoad(slow, makeLoad(null, running), nowMs);
    const sent = estimate.recordSent(slow, nowMs);
    const tookMs = 100 * Math.max(1, (running + 1) / placesInTruth);
    estimate.recordEnd(sent, 'completed', nowMs + tookMs);
  });
  const findMs = (running: number) => {
    Array.from({length: 20}, () =>
      estimate.recordLoad(slow, makeLoad(null, running), 900_000),
    );
    return estimate.findMs(slow, 900_000);
  };
  assert.ok(findMs(5) > 1.9 * findMs(1), `${findMs(5)} ${findMs(1)}`);
});

// Guards against estimates that cannot be compared, whatever was recorded.
test('an estimate is finite, and no earlier with more requests there', () => {
  const event = fc.record({
    tookMs: fc.double({min: 0, max: 1e6, noNaN: true}),
    percent: fc.option(fc.double()),
    running: fc.nat(1_000),
    slots: fc.nat(16),
  });
  fc.assert(
    fc.property(fc.array(event), events => {
      const estimate = new CompletionEstimate();
      events.forEach(({tookMs, percent, running, slots}) => {
        const server = makeServer({slots});
        const sent = estimate.recordSent(server, 0);
        estimate.recordLoad(server, makeLoad(percent, running), tookMs);
        estimate.recordEnd(sent, 'completed', tookMs);
      });
      const beforeMs = estimate.findMs(makeServer(), 1e6);
      estimate.recordSent(makeServer(), 1e6);
      assert.ok(Number.isFinite(beforeMs) && beforeMs >= 0);
      assert.ok(estimate.findMs(makeServer(), 1e6) >= beforeMs - 1);
    }),
  );
});

test.run();
