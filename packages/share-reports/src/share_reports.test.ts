import {EngineBoard} from '@mimosatack/engine-board';
import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
  type ClusterNode,
  type ClusterSetup,
  type Envelope,
  InMemoryCluster,
  formatEngineId,
} from './in_memory_cluster.js';
import {FullStateRequests, reportMessageSchema} from './index.js';

/** How one message is delivered; `lost` is 0 for a lost message. */
interface Delivery {
  lost: number;
  copies: number;
  delayMs: number;
}

const MINUTE_MS = 60_000;
const FIRST_ENGINE = formatEngineId(0);

function createCluster(setup: Partial<ClusterSetup> = {}): InMemoryCluster {
  const cluster = new InMemoryCluster({
    nodeCount: 8,
    backendServerCount: 13,
    ...setup,
  });
  cluster.run(5_000);
  return cluster;
}

function setLoad(cluster: InMemoryCluster, id: string, running: number): void {
  cluster.engines.get(id)!.load.runningRequests = running;
}

function listLoads(cluster: InMemoryCluster, id: string): number[] {
  return cluster.nodes.map(
    ({board}) => board.find(id)?.load.runningRequests ?? -1,
  );
}

function hasLoadEverywhere(
  cluster: InMemoryCluster,
  id: string,
  running: number,
) {
  return listLoads(cluster, id).every(load => load === running);
}

function isWarmAt({board}: ClusterNode, id: string): boolean {
  return board.listWarm('model-1', null).some(r => r.backendServerId === id);
}

function linkOf({fromAddress, toAddress}: Envelope): string {
  return [fromAddress, toAddress].sort().join();
}

/** Whether a message crosses between the first four nodes and the others. */
function crossesPartition({fromAddress, toAddress}: Envelope): boolean {
  const [from, to] = [fromAddress, toAddress].map(
    address => Number(address.split(':')[1]) < 4,
  );
  return from !== to;
}

const sharing = suite('sharing reports');

sharing('loads and warm states reach every node', () => {
  const cluster = createCluster({nodeCount: 37, backendServerCount: 70});
  cluster.setWarm(FIRST_ENGINE, [1, 7]);
  setLoad(cluster, FIRST_ENGINE, 21);
  assert.ok(cluster.runUntil(() => cluster.isConverged(), 2_000) !== null);
  assert.ok(
    cluster.runUntil(
      () => hasLoadEverywhere(cluster, FIRST_ENGINE, 21),
      3_000,
    ) !== null,
  );
  assert.is(
    cluster.nodes[9]!.board.find(FIRST_ENGINE)?.load.maxRunningRequests,
    32,
  );
});

sharing('each load reaches each node once a round', () => {
  const cluster = createCluster({nodeCount: 37, backendServerCount: 70});
  let entryCount = 0;
  cluster.onSend = ({message}) => {
    if (message.type !== 'loads') return;
    entryCount += message.groups.flatMap(group => group.slice(2)).length;
  };
  cluster.run(10 * cluster.nodes[0]!.sharing.roundMs);
  // All engines are idle, so each load is one number.
  assert.is(entryCount, 10 * 36 * 70);
});

sharing('a node that starts receives all warm states in one message', () => {
  const cluster = createCluster();
  cluster.setWarm(FIRST_ENGINE, [1]);
  cluster.run(5_000);
  const [, , node] = cluster.nodes;
  const whole: Envelope[] = [];
  cluster.onSend = envelope => {
    const {message} = envelope;
    if (message.type === 'statuses' && message.isWhole) whole.push(envelope);
  };
  cluster.restart(node!);
  assert.ok(
    cluster.runUntil(() => isWarmAt(node!, FIRST_ENGINE), 1_000) !== null,
  );
  cluster.run(MINUTE_MS);
  assert.is(whole.length, 1);
});

sharing('the full state of an engine is requested once per change', () => {
  const cluster = createCluster();
  const {board} = cluster.nodes[5]!;
  const ids = [...cluster.engines.keys()];
  const plan = new FullStateRequests(board);
  const due = plan.takeDueRequests([FIRST_ENGINE], cluster.nowMs);
  assert.equal(due, [FIRST_ENGINE]);
  board.applyEngine(
    cluster.engines.get(FIRST_ENGINE)!,
    board.find(FIRST_ENGINE)!.version!,
  );
  plan.markCompleted(FIRST_ENGINE);
  assert.equal(plan.takeDueRequests([FIRST_ENGINE], cluster.nowMs), []);
  cluster.setWarm(FIRST_ENGINE, [1]);
  cluster.run(5_000);
  assert.equal(plan.takeDueRequests([FIRST_ENGINE], cluster.nowMs), [
    FIRST_ENGINE,
  ]);
  const manyIds = Array.from({length: 65}, (_, index) => formatEngineId(index));
  assert.equal(
    new FullStateRequests(board).takeDueRequests([...manyIds, ...ids], 0),
    [],
  );
});

sharing('malformed messages are rejected', () => {
  const loads = {type: 'loads', table: 1, bit: 0, stampUnits: 1};
  const cases = [
    {...loads, groups: [[2, 0, 5, 1]]},
    {...loads, groups: [[2, 0, 5, 1, -1]]},
    {...loads, groups: [[9, 0]]},
    {...loads, groups: [[0]]},
    {...loads, table: -1, groups: []},
    {type: 'status-digests', digests: [1]},
    {type: 'unknown'},
  ];
  cases.forEach(message =>
    assert.not(reportMessageSchema.safeParse(message).success),
  );
});

sharing.run();

const failures = suite('sharing reports under failure');

failures('a delayed report of a former steward changes nothing', () => {
  // Guards against requests to an engine that is no longer warm, after delayed
  // messages of the former steward arrive.
  const cluster = createCluster();
  const [former, successor, observer] = cluster.nodes as [
    ClusterNode,
    ClusterNode,
    ClusterNode,
  ];
  const delayed: Envelope[] = [];
  cluster.isLost = envelope => {
    const isDelayed = envelope.fromAddress === former.peerAddress;
    if (isDelayed) delayed.push({...envelope, toAddress: observer.peerAddress});
    return isDelayed;
  };
  cluster.setWarm(FIRST_ENGINE, [1]);
  setLoad(cluster, FIRST_ENGINE, 3);
  cluster.run(2_000);
  former.isFrozen = true;
  cluster.claim(FIRST_ENGINE, successor);
  cluster.setWarm(FIRST_ENGINE, []);
  setLoad(cluster, FIRST_ENGINE, 30);
  cluster.run(5_000);
  const isNewest = () =>
    !isWarmAt(observer, FIRST_ENGINE) &&
    observer.board.find(FIRST_ENGINE)?.load.runningRequests === 30;
  assert.ok(isNewest());
  assert.ok(delayed.some(({message}) => message.type === 'loads'));
  assert.ok(delayed.some(({message}) => message.type === 'statuses'));
  delayed.forEach(envelope => cluster.deliver(envelope));
  assert.ok(isNewest());
});

failures('a change that was lost is repaired', () => {
  // Guards against requests to an unloaded replica after the messages about the
  // change were lost.
  const cluster = createCluster();
  cluster.isLost = ({message}) => message.type === 'statuses';
  cluster.setWarm(FIRST_ENGINE, [1]);
  cluster.run(2_000);
  assert.not(cluster.isConverged());
  cluster.isLost = () => false;
  assert.ok(cluster.runUntil(() => cluster.isConverged(), MINUTE_MS) !== null);
});

failures('nodes at different log offsets do not confuse indexes', () => {
  // Guards against loads recorded for the wrong engine, because one node has not
  // read the registration of a backend server that shifts the indexes.
  const cluster = createCluster();
  const [lagging, ...others] = cluster.nodes as [ClusterNode, ...ClusterNode[]];
  lagging.laggingRows = [...cluster.rows];
  cluster.rows = [
    {backendServerId: 'aaa', epoch: 999, holder: null},
    ...cluster.rows,
  ];
  [...cluster.engines.keys()].forEach((id, index) =>
    setLoad(cluster, id, 40 + index),
  );
  const hasWrongLoad = () =>
    cluster.nodes.some(({board}) =>
      [...cluster.engines.keys()].some((id, index) => {
        const load = board.find(id)?.load.runningRequests ?? 0;
        return load !== 0 && load !== 40 + index;
      }),
    );
  assert.is(cluster.runUntil(hasWrongLoad, 5_000), null);
  assert.ok(others.every(({board}) => board.find(FIRST_ENGINE)!.isReachable));
  lagging.laggingRows = null;
  const hasRightLoads = () =>
    [...cluster.engines.keys()].every((id, index) =>
      hasLoadEverywhere(cluster, id, 40 + index),
    );
  assert.ok(cluster.runUntil(hasRightLoads, 5_000) !== null);
});

failures('healed regions converge without a message burst', () => {
  // Guards against a burst of reports that slows down requests, because nearly
  // every engine has changed during the partition.
  const cluster = createCluster({nodeCount: 8, backendServerCount: 400});
  cluster.isLost = crossesPartition;
  const ids = [...cluster.engines.keys()];
  ids.forEach((id, index) => cluster.setWarm(id, [index % 9]));
  cluster.run(MINUTE_MS);
  assert.ok(
    cluster.nodes[0]!.board.find(formatEngineId(5))!.isReachable == null,
  );
  cluster.isLost = () => false;
  const perSecond = new Map<string, number>();
  cluster.onSend = ({fromAddress, message}) => {
    if (!('statuses' in message)) return;
    const key = `${fromAddress} ${Math.floor(cluster.nowMs / 1_000)}`;
    const sent = perSecond.get(key) ?? 0;
    perSecond.set(key, sent + message.statuses.length);
  };
  assert.ok(cluster.runUntil(() => cluster.isConverged(), MINUTE_MS) !== null);
  assert.ok(Math.max(...perSecond.values()) < 400);
});

failures('a restarted engine has no warm models', () => {
  // Guards against requests to a restarted engine because of a full state that
  // was requested before the restart.
  const cluster = createCluster();
  cluster.setWarm(FIRST_ENGINE, [1]);
  cluster.run(5_000);
  const {board} = cluster.nodes[6]!;
  const engine = structuredClone(cluster.engines.get(FIRST_ENGINE)!);
  board.applyEngine(engine, board.find(FIRST_ENGINE)!.version!);
  assert.is(board.find(FIRST_ENGINE)!.engine?.replicas.length, 1);
  cluster.engines.get(FIRST_ENGINE)!.incarnation = 'second';
  cluster.setWarm(FIRST_ENGINE, []);
  cluster.run(2_000);
  assert.ok(cluster.isConverged());
  assert.is(board.find(FIRST_ENGINE)!.engine, null);
});

failures('the reports of a frozen steward expire', () => {
  // Guards against routing by loads that are minutes old, because the steward
  // no longer updates them.
  const cluster = createCluster();
  cluster.nodes[0]!.isFrozen = true;
  const {board} = cluster.nodes[3]!;
  assert.ok(board.find(FIRST_ENGINE)!.isReachable);
  cluster.run(15_000);
  assert.is(board.find(FIRST_ENGINE)!.isReachable, undefined);
  assert.ok(board.find(formatEngineId(1))!.isReachable);
  cluster.nodes[0]!.isFrozen = false;
  cluster.run(5_000);
  assert.ok(board.find(FIRST_ENGINE)!.isReachable);
});

failures('different wall clocks only delay loads', () => {
  // Guards against loads that never arrive because clocks differ by seconds or
  // are set back.
  const cluster = createCluster({
    nodeCount: 16,
    skewMs: index => (index * 977) % 4_000,
  });
  cluster.nodes[2]!.skewMs -= 3_600_000;
  cluster.run(10_000);
  [...cluster.engines.keys()].forEach(id => setLoad(cluster, id, 9));
  const hasRightLoads = () =>
    [...cluster.engines.keys()].every(id => hasLoadEverywhere(cluster, id, 9));
  assert.ok(cluster.runUntil(hasRightLoads, 10_000) !== null);
});

failures('reports bypass a broken link between two nodes', () => {
  // Guards against a node without the loads of many engines while membership
  // sees both ends of the broken link alive.
  const cluster = createCluster({nodeCount: 16});
  const links: string[] = [];
  cluster.onSend = envelope => {
    if (envelope.message.type === 'loads') links.push(linkOf(envelope));
  };
  cluster.run(5_000);
  const [broken] = links;
  cluster.isLost = envelope => linkOf(envelope) === broken;
  cluster.setWarm(FIRST_ENGINE, [1]);
  cluster.run(30_000);
  assert.ok(cluster.isConverged());
  const knowsAllEngines = ({board}: ClusterNode) =>
    [...cluster.engines.keys()].every(id => board.find(id)!.isReachable);
  assert.ok(cluster.nodes.every(knowsAllEngines));
});

failures(
  'boards converge after lost, duplicated and reordered messages',
  () => {
    // Guards against a board that stays wrong because of the order in which
    // messages arrived.
    const change = fc.record({
      engine: fc.nat(5),
      warm: fc.uniqueArray(fc.nat(9), {maxLength: 4}),
      successor: fc.option(fc.nat(4), {nil: null}),
      afterMs: fc.nat(1_500),
    });
    const delivery = fc.record({
      lost: fc.nat(3),
      copies: fc.nat(2),
      delayMs: fc.nat(4_000),
    });
    fc.assert(
      fc.property(
        fc.array(change, {maxLength: 12}),
        fc.infiniteStream(delivery),
        (changes, deliveries) => {
          const cluster = createCluster({nodeCount: 5, backendServerCount: 6});
          cluster.isLost = envelope => {
            const {lost, copies, delayMs} = deliveries.next().value as Delivery;
            const copy = {...envelope, dueMs: cluster.nowMs + delayMs};
            cluster.schedule(Array.from({length: copies}, () => copy));
            return lost === 0;
          };
          changes.forEach(({engine, warm, successor, afterMs}) => {
            cluster.setWarm(formatEngineId(engine), warm);
            if (successor !== null) {
              cluster.claim(formatEngineId(engine), cluster.nodes[successor]!);
            }
            cluster.run(afterMs);
          });
          cluster.isLost = () => false;
          cluster.run(MINUTE_MS);
          assert.ok(cluster.isConverged());
        },
      ),
      {seed: 20_260_101, numRuns: 60},
    );
  },
);

failures.run();

const board = suite('board');

board('a report without a steward is ordered by its time', () => {
  const engines = new EngineBoard();
  const report = {
    backendServerId: 'a',
    engine: null,
    load: {
      runningRequests: 1,
      queuedRequests: 0,
      maxRunningRequests: 4,
      tokensPerSecond: 0,
      ageMs: 0,
    },
    isReachable: true,
  };
  assert.ok(engines.applyReport({...report, reportedAtMs: 2}));
  assert.not(engines.applyReport({...report, reportedAtMs: 1}));
  engines.expire(MINUTE_MS, 1);
  assert.ok(engines.find('a')!.isReachable);
});

board('a load of an earlier claim is older, regardless of its time', () => {
  const engines = new EngineBoard();
  const sample = {
    backendServerId: 'a',
    stampMs: 1_000,
    load: {runningRequests: 7, queuedRequests: 0},
  };
  assert.ok(engines.applyLoad({...sample, epoch: 5}, 0, 0));
  assert.not(engines.applyLoad({...sample, epoch: 5}, 0, 0));
  assert.not(engines.applyLoad({...sample, epoch: 4, stampMs: 9_000}, 0, 0));
  assert.ok(engines.applyLoad({...sample, epoch: 6, stampMs: 500}, 0, 0));
});

board.run();
