import {EngineBoard} from '@mimosatack/engine-board';
import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
  type ClusterNode,
  type ClusterSetup,
  type Envelope,
  InMemoryCluster,
  nameOfEngine,
} from './in_memory_cluster.js';
import {PullPlan, reportMessageSchema} from './index.js';

/** What becomes of one message. */
interface Fate {
  lost: number;
  copies: number;
  lateMs: number;
}

const MINUTE_MS = 60_000;
const FIRST = nameOfEngine(0);

function createCluster(setup: Partial<ClusterSetup> = {}): InMemoryCluster {
  const cluster = new InMemoryCluster({
    nodeCount: 8,
    runnerCount: 13,
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

function isEverywhere(cluster: InMemoryCluster, id: string, running: number) {
  return listLoads(cluster, id).every(load => load === running);
}

function isWarmAt({board}: ClusterNode, id: string): boolean {
  return board.listWarm('model-1', null).some(r => r.backendServerId === id);
}

function linkOf({fromAddress, toAddress}: Envelope): string {
  return [fromAddress, toAddress].sort().join();
}

/** Whether a message crosses between the first half of the nodes and the rest. */
function isAcross({fromAddress, toAddress}: Envelope): boolean {
  const [from, to] = [fromAddress, toAddress].map(
    address => Number(address.split(':')[1]) < 4,
  );
  return from !== to;
}

const sharing = suite('sharing reports');

sharing('loads and warm states come to every node', () => {
  const cluster = createCluster({nodeCount: 37, runnerCount: 70});
  cluster.setWarm(FIRST, [1, 7]);
  setLoad(cluster, FIRST, 21);
  assert.ok(cluster.runUntil(() => cluster.isAgreed(), 2_000) !== null);
  assert.ok(
    cluster.runUntil(() => isEverywhere(cluster, FIRST, 21), 3_000) !== null,
  );
  assert.is(cluster.nodes[9]!.board.find(FIRST)?.load.maxRunningRequests, 32);
});

sharing('each load comes to each node once a round', () => {
  const cluster = createCluster({nodeCount: 37, runnerCount: 70});
  let entryCount = 0;
  cluster.onSend = ({message}) => {
    if (message.type !== 'loads') return;
    entryCount += message.groups.flatMap(group => group.slice(2)).length;
  };
  cluster.run(10 * cluster.nodes[0]!.sharing.roundMs);
  // All engines are idle: one number each.
  assert.is(entryCount, 10 * 36 * 70);
});

sharing('a node that starts gets the picture in one message', () => {
  const cluster = createCluster();
  cluster.setWarm(FIRST, [1]);
  cluster.run(5_000);
  const [, , node] = cluster.nodes;
  const whole: Envelope[] = [];
  cluster.onSend = envelope => {
    const {message} = envelope;
    if (message.type === 'statuses' && message.isWhole) whole.push(envelope);
  };
  cluster.restart(node!);
  assert.ok(cluster.runUntil(() => isWarmAt(node!, FIRST), 1_000) !== null);
  cluster.run(MINUTE_MS);
  assert.is(whole.length, 1);
});

sharing('the whole state of an engine is asked for once a change', () => {
  const cluster = createCluster();
  const {board} = cluster.nodes[5]!;
  const ids = [...cluster.engines.keys()];
  const plan = new PullPlan(board);
  const due = plan.takeDue([FIRST], cluster.nowMs);
  assert.equal(due, [FIRST]);
  board.noteEngine(cluster.engines.get(FIRST)!, board.find(FIRST)!.version!);
  plan.noteDone(FIRST);
  assert.equal(plan.takeDue([FIRST], cluster.nowMs), []);
  cluster.setWarm(FIRST, [1]);
  cluster.run(5_000);
  assert.equal(plan.takeDue([FIRST], cluster.nowMs), [FIRST]);
  const many = Array.from({length: 65}, (_, index) => nameOfEngine(index));
  assert.equal(new PullPlan(board).takeDue([...many, ...ids], 0), []);
});

sharing('malformed messages are refused', () => {
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

failures('a late report of a former steward changes nothing', () => {
  // Requests go to an engine that holds nothing any more.
  // The old steward read the engine; its messages are held up on the way;
  // another node takes over and tells that the engine is empty and busy; then
  // the old messages arrive.
  const cluster = createCluster();
  const [old, taker, reader] = cluster.nodes as [
    ClusterNode,
    ClusterNode,
    ClusterNode,
  ];
  const late: Envelope[] = [];
  cluster.isLost = envelope => {
    const isFromOld = envelope.fromAddress === old.peerAddress;
    if (isFromOld) late.push({...envelope, toAddress: reader.peerAddress});
    return isFromOld;
  };
  cluster.setWarm(FIRST, [1]);
  setLoad(cluster, FIRST, 3);
  cluster.run(2_000);
  old.isFrozen = true;
  cluster.claim(FIRST, taker);
  cluster.setWarm(FIRST, []);
  setLoad(cluster, FIRST, 30);
  cluster.run(5_000);
  const isNewest = () =>
    !isWarmAt(reader, FIRST) &&
    reader.board.find(FIRST)?.load.runningRequests === 30;
  assert.ok(isNewest());
  assert.ok(late.some(({message}) => message.type === 'loads'));
  assert.ok(late.some(({message}) => message.type === 'statuses'));
  late.forEach(envelope => cluster.deliver(envelope));
  assert.ok(isNewest());
});

failures('a change that was lost is repaired', () => {
  // One router keeps sending requests to a replica that was unloaded.
  // The change was told once, and no message of that moment arrived.
  const cluster = createCluster();
  cluster.isLost = ({message}) => message.type === 'statuses';
  cluster.setWarm(FIRST, [1]);
  cluster.run(2_000);
  assert.not(cluster.isAgreed());
  cluster.isLost = () => false;
  assert.ok(cluster.runUntil(() => cluster.isAgreed(), MINUTE_MS) !== null);
});

failures('nodes at different offsets never mix up their indexes', () => {
  // A router believes that an idle engine is full, and the other way round.
  // A backend server was registered whose name sorts first; one node has not
  // read that record yet, so its numbers are off by one.
  const cluster = createCluster();
  const [behind, ...others] = cluster.nodes as [ClusterNode, ...ClusterNode[]];
  behind.laggingRows = [...cluster.rows];
  cluster.rows = [
    {backendServerId: 'aaa', epoch: 999, holder: null},
    ...cluster.rows,
  ];
  [...cluster.engines.keys()].forEach((id, index) =>
    setLoad(cluster, id, 40 + index),
  );
  const isAnyWrong = () =>
    cluster.nodes.some(({board}) =>
      [...cluster.engines.keys()].some((id, index) => {
        const load = board.find(id)?.load.runningRequests ?? 0;
        return load !== 0 && load !== 40 + index;
      }),
    );
  assert.is(cluster.runUntil(isAnyWrong, 5_000), null);
  assert.ok(others.every(({board}) => board.find(FIRST)!.isReachable));
  behind.laggingRows = null;
  const isRight = () =>
    [...cluster.engines.keys()].every((id, index) =>
      isEverywhere(cluster, id, 40 + index),
    );
  assert.ok(cluster.runUntil(isRight, 5_000) !== null);
});

failures('regions that were cut off find together without a storm', () => {
  // After an hour's cut a flood of reports slows down all requests.
  // Both sides changed nearly every engine meanwhile, and each node tells
  // all it has at once.
  const cluster = createCluster({nodeCount: 8, runnerCount: 400});
  cluster.isLost = isAcross;
  const ids = [...cluster.engines.keys()];
  ids.forEach((id, index) => cluster.setWarm(id, [index % 9]));
  cluster.run(MINUTE_MS);
  assert.ok(cluster.nodes[0]!.board.find(nameOfEngine(5))!.isReachable == null);
  cluster.isLost = () => false;
  const perSecond = new Map<string, number>();
  cluster.onSend = ({fromAddress, message}) => {
    if (!('statuses' in message)) return;
    const key = `${fromAddress} ${Math.floor(cluster.nowMs / 1_000)}`;
    const sent = perSecond.get(key) ?? 0;
    perSecond.set(key, sent + message.statuses.length);
  };
  assert.ok(cluster.runUntil(() => cluster.isAgreed(), MINUTE_MS) !== null);
  assert.ok(Math.max(...perSecond.values()) < 400);
});

failures('an engine that restarts has nothing warm', () => {
  // Requests fail at an engine that was restarted, though it answers.
  // Its new process holds nothing; a state pulled before says otherwise.
  const cluster = createCluster();
  cluster.setWarm(FIRST, [1]);
  cluster.run(5_000);
  const {board} = cluster.nodes[6]!;
  const engine = structuredClone(cluster.engines.get(FIRST)!);
  board.noteEngine(engine, board.find(FIRST)!.version!);
  assert.is(board.find(FIRST)!.engine?.replicas.length, 1);
  cluster.engines.get(FIRST)!.incarnation = 'second';
  cluster.setWarm(FIRST, []);
  cluster.run(2_000);
  assert.ok(cluster.isAgreed());
  assert.is(board.find(FIRST)!.engine, null);
});

failures('what a frozen steward told counts as unknown after a while', () => {
  // A router avoids or prefers an engine by a load that is minutes old.
  // The steward's process is frozen: nothing takes its report back, and
  // anything it told before would hold for ever.
  const cluster = createCluster();
  cluster.nodes[0]!.isFrozen = true;
  const {board} = cluster.nodes[3]!;
  assert.ok(board.find(FIRST)!.isReachable);
  cluster.run(15_000);
  assert.is(board.find(FIRST)!.isReachable, undefined);
  assert.ok(board.find(nameOfEngine(1))!.isReachable);
  cluster.nodes[0]!.isFrozen = false;
  cluster.run(5_000);
  assert.ok(board.find(FIRST)!.isReachable);
});

failures('wall clocks that differ only make loads later', () => {
  // Routers never learn the load of some engines.
  // The hosts' clocks are up to seconds apart, so the steps of a round do not
  // meet; one clock is set back by an hour.
  const cluster = createCluster({
    nodeCount: 16,
    skewMs: index => (index * 977) % 4_000,
  });
  cluster.nodes[2]!.skewMs -= 3_600_000;
  cluster.run(10_000);
  [...cluster.engines.keys()].forEach(id => setLoad(cluster, id, 9));
  const isRight = () =>
    [...cluster.engines.keys()].every(id => isEverywhere(cluster, id, 9));
  assert.ok(cluster.runUntil(isRight, 10_000) !== null);
});

failures('two nodes that cannot reach each other hear by others', () => {
  // One router has no loads of many engines, though it is well.
  // A single link is broken; membership sees both ends alive through others.
  const cluster = createCluster({nodeCount: 16});
  const links: string[] = [];
  cluster.onSend = envelope => {
    if (envelope.message.type === 'loads') links.push(linkOf(envelope));
  };
  cluster.run(5_000);
  const [broken] = links;
  cluster.isLost = envelope => linkOf(envelope) === broken;
  cluster.setWarm(FIRST, [1]);
  cluster.run(30_000);
  assert.ok(cluster.isAgreed());
  const isKnown = ({board}: ClusterNode) =>
    [...cluster.engines.keys()].every(id => board.find(id)!.isReachable);
  assert.ok(cluster.nodes.every(isKnown));
});

failures(
  'whatever is lost, doubled or swapped, boards agree in the end',
  () => {
    // A router stays wrong about an engine until somebody restarts it.
    // The order in which news came decides what it believes.
    const change = fc.record({
      engine: fc.nat(5),
      warm: fc.uniqueArray(fc.nat(9), {maxLength: 4}),
      taker: fc.option(fc.nat(4), {nil: null}),
      afterMs: fc.nat(1_500),
    });
    const fate = fc.record({
      lost: fc.nat(3),
      copies: fc.nat(2),
      lateMs: fc.nat(4_000),
    });
    fc.assert(
      fc.property(
        fc.array(change, {maxLength: 12}),
        fc.infiniteStream(fate),
        (changes, fates) => {
          const cluster = createCluster({nodeCount: 5, runnerCount: 6});
          cluster.isLost = envelope => {
            const {lost, copies, lateMs} = fates.next().value as Fate;
            const copy = {...envelope, dueMs: cluster.nowMs + lateMs};
            cluster.delay(Array.from({length: copies}, () => copy));
            return lost === 0;
          };
          changes.forEach(({engine, warm, taker, afterMs}) => {
            cluster.setWarm(nameOfEngine(engine), warm);
            if (taker !== null) {
              cluster.claim(nameOfEngine(engine), cluster.nodes[taker]!);
            }
            cluster.run(afterMs);
          });
          cluster.isLost = () => false;
          cluster.run(MINUTE_MS);
          assert.ok(cluster.isAgreed());
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
  assert.ok(engines.note({...report, reportedAtMs: 2}));
  assert.not(engines.note({...report, reportedAtMs: 1}));
  engines.expire(MINUTE_MS, 1);
  assert.ok(engines.find('a')!.isReachable);
});

board('a load of an earlier claim is older, whatever its time', () => {
  const engines = new EngineBoard();
  const sample = {
    backendServerId: 'a',
    stampMs: 1_000,
    load: {runningRequests: 7, queuedRequests: 0},
  };
  assert.ok(engines.noteLoad({...sample, epoch: 5}, 0, 0));
  assert.not(engines.noteLoad({...sample, epoch: 5}, 0, 0));
  assert.not(engines.noteLoad({...sample, epoch: 4, stampMs: 9_000}, 0, 0));
  assert.ok(engines.noteLoad({...sample, epoch: 6, stampMs: 500}, 0, 0));
});

board.run();
