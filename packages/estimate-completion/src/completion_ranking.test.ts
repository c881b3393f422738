import {SeededRandom} from '@mimosatack/random';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
  CompletionEstimate,
  type EstimatedServer,
} from './completion_estimate.js';
import {CompletionRanking} from './completion_ranking.js';

const test = suite('ranking by completion');

function makeServer(id: string, failureDomain: string): EstimatedServer {
  return {id, failureDomain, startedAtMs: 1, slots: 8};
}

const own = makeServer('own', 'a');
const other = makeServer('other', 'b');

/** Both servers have served requests in the times. */
function makeRanking(ownMs: number, otherMs: number) {
  const estimate = new CompletionEstimate();
  const serve = (server: EstimatedServer, tookMs: number) => {
    const sent = estimate.recordSent(server, 0);
    estimate.recordEnd(sent, 'completed', tookMs);
  };
  Array.from({length: 50}, () => {
    serve(own, ownMs);
    serve(other, otherMs);
  });
  const random = new SeededRandom(1);
  const options = {random, ownDomain: 'a', crossDomainCostMs: 5};
  return {estimate, ranking: new CompletionRanking(estimate, options)};
}

// Guards against leaving for a gain that the way there uses up.
test('a request leaves its domain for more than the cost', () => {
  assert.is(makeRanking(100, 97).ranking.pick([own, other], 0), own);
  assert.is(makeRanking(100, 90).ranking.pick([own, other], 0), other);
});

// Guards against requests that are refused in a domain that has lost its servers.
test('a domain without servers uses the others, even at any lateness', () => {
  const {ranking} = makeRanking(100, 800);
  assert.is(ranking.pick([other], 0), other);
  assert.is(ranking.pick([], 0), undefined);
});

// Guards against a server that draws requests as it rejects them at once.
test('a server that has rejected is chosen only if all others have, too', () => {
  const {estimate, ranking} = makeRanking(100, 800);
  const reject = (server: EstimatedServer) =>
    estimate.recordEnd(estimate.recordSent(server, 0), 'failed', 0);
  reject(own);
  assert.is(ranking.pick([own, other], 1), other);
  reject(other);
  assert.is(ranking.pick([own, other], 1), own);
});

test.run();
