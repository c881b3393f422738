/** Guards against copies of a crashing request that several nodes send at once. */
import {ManualClock} from '@mimosatack/clock';
import {MemoryEventLogger} from '@mimosatack/logger';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {RequestContainment} from './request_containment.js';
import {SuspectRuns} from './suspect_runs.js';

const test = suite('runs of suspected requests');

const TERMS = {maxWaitMs: 1_000, maxHoldMs: 5_000};

/** Nodes of which the first grants the leases while `hasHolder` is true. */
function createFleet(size: number) {
  const clock = new ManualClock();
  const fleet = {hasHolder: true};
  const nodes: {containment: RequestContainment; runs: SuspectRuns}[] = [];
  const findHolder = () => (fleet.hasHolder ? nodes[0] : undefined);
  Array.from({length: size}, (_, at) => {
    const containment = new RequestContainment({
      ...{clock, logger: new MemoryEventLogger(), isProbingNode: () => false},
    });
    const runs = new SuspectRuns({
      ...{clock, containment, runIdPrefix: `n${at}`},
      isHolder: () => fleet.hasHolder && at === 0,
      askHolder: async ask => (await findHolder()?.runs.handleAsk(ask)) ?? null,
      tellHolder: release => findHolder()?.runs.handleRelease(release),
    });
    nodes.push({containment, runs});
  });
  const nodeAt = (at: number) => {
    const node = nodes[at];
    if (!node) throw new Error(`There is no node ${at}.`);
    return node;
  };
  const decisions: string[] = [];
  const acquire = (at: number) => {
    const {runs} = nodeAt(at);
    const runId = runs.makeRunId();
    void runs
      .acquire('bad', runId, TERMS)
      .then(isGranted =>
        decisions.push(`${at} ${isGranted ? 'granted' : 'denied'}`),
      );
    return runId;
  };
  const readDecisions = async () => {
    await new Promise(resolve => setTimeout(resolve, 1));
    return decisions.splice(0);
  };
  return {clock, fleet, acquire, readDecisions, nodeAt};
}

function recordCrash(
  {containment}: {containment: RequestContainment},
  serverLife: string,
): void {
  containment.recordConnectionLoss({fingerprint: 'bad', parts: []}, serverLife);
}

test('copies at all nodes run one after another until the third crash', async () => {
  const {acquire, readDecisions, nodeAt} = createFleet(4);
  recordCrash(nodeAt(1), 'a');
  const first = acquire(1);
  const second = acquire(2);
  [3, 0].forEach(acquire);
  assert.equal(await readDecisions(), ['1 granted']);
  recordCrash(nodeAt(1), 'b');
  nodeAt(1).runs.release('bad', first);
  assert.equal(await readDecisions(), ['2 granted']);
  recordCrash(nodeAt(2), 'c');
  nodeAt(2).runs.release('bad', second);
  assert.equal(await readDecisions(), ['0 denied', '3 denied']);
  assert.ok(nodeAt(3).containment.isContained('bad'));
});

test('copies run at once again after a success', async () => {
  const {acquire, readDecisions, nodeAt} = createFleet(4);
  recordCrash(nodeAt(1), 'a');
  const first = acquire(1);
  [2, 3, 0].forEach(acquire);
  await readDecisions();
  nodeAt(1).containment.recordSuccess(['bad']);
  nodeAt(1).runs.release('bad', first);
  const granted = ['0 granted', '2 granted', '3 granted'];
  assert.equal((await readDecisions()).sort(), granted);
});

// Guards against a request that each node may send once while no node schedules.
test('without a holder a request one crash from containment waits', async () => {
  const {clock, fleet, acquire, readDecisions, nodeAt} = createFleet(3);
  fleet.hasHolder = false;
  recordCrash(nodeAt(1), 'a');
  acquire(1);
  assert.equal(await readDecisions(), ['1 granted']);
  ['a', 'b'].forEach(life => recordCrash(nodeAt(2), life));
  acquire(2);
  await readDecisions();
  clock.advance(TERMS.maxWaitMs);
  assert.equal(await readDecisions(), ['2 denied']);
});

test.run();
