import fc from 'fast-check';
import {suite} from 'uvu';
import {LEASE_MS, TARGET, type TestNode, startNodes} from './duty_fixture.js';
import {type LastOrders} from './takeover_wait.js';

const test = suite('duty properties under random events');

const STEP_KINDS = [
  'gone',
  'alive',
  'cut',
  'heal',
  'down',
  'up',
  'lost',
  'late',
  'release',
  'grant',
  'withhold-grants',
  'suspend',
  'crash',
  'hand-over',
  'hand-over-unreported',
  'hand-over-to-new-process',
  'late-report',
] as const;

/** An event at a node or at the store. */
type Step = {
  kind: (typeof STEP_KINDS)[number];
  nodeIndex: number;
};

const stepLists = fc.array(
  fc.record<Step>({
    kind: fc.constantFrom(...STEP_KINDS),
    nodeIndex: fc.nat({max: 2}),
  }),
  {maxLength: 25},
);

/** Crashes the holder's process; the other nodes detect the exit. */
function crashHolder(nodes: readonly TestNode[]): void {
  const holder = nodes.find(({task, hasCrashed}) => task.isHeld && !hasCrashed);
  if (!holder) return;
  holder.hasCrashed = true;
  holder.storeLink.isCut = true;
  holder.task.stop();
  nodes.forEach(node => {
    if (node.task.holder?.nodeName === holder.name) node.contact = 'ended';
  });
}

interface Report {
  to: TestNode;
  lastOrders: LastOrders;
}

/** Hands the duty over; resolves with the report that the successor should get. */
async function handOver(
  nodes: readonly TestNode[],
  next: TestNode,
): Promise<Report | null> {
  const holder = nodes.find(({task, hasCrashed}) => task.isHeld && !hasCrashed);
  if (!holder || holder === next || next.hasCrashed) return null;
  const {name, incarnation} = next;
  const orders = holder.task.listOrdersForSuccessor(
    new Map([[TARGET, holder.lastOrderAtMs]]),
  );
  const successorToken = await holder.task.handOver({
    ...{nodeName: name, incarnation, address: `${name}:1`},
  });
  if (successorToken === null) return null;
  next.contact = 'alive';
  return {
    to: next,
    lastOrders: {...orders, incarnation: holder.incarnation, successorToken},
  };
}

async function runSteps(steps: readonly Step[], isFenced: boolean) {
  const names = ['a', 'b', 'c'];
  const started = startNodes(names, isFenced);
  const {topic, nodes, passTime, restart, stop} = started;
  const reports: Report[] = [];
  const deliver = ({to, lastOrders}: Report) =>
    to.task.noteLastOrders(lastOrders);
  const observed: Array<{name: string; token: number; atMs: number}> = [];
  const recordOrders = () =>
    nodes.filter(started.mayOrder).forEach(node => {
      const {name, task} = node;
      const authority = task.findAuthority();
      if (!authority) return;
      node.lastOrderAtMs = started.clock.monotonicMs();
      observed.push({
        name,
        token: authority.fencingToken,
        atMs: started.clock.monotonicMs(),
      });
    });
  for (const {kind, nodeIndex} of steps) {
    const node = nodes[nodeIndex];
    if (kind === 'gone' && node) node.contact = 'gone';
    if (kind === 'alive' && node) node.contact = 'alive';
    if (kind === 'cut' && node) node.storeLink.isCut = true;
    if (kind === 'heal' && node) node.storeLink.isCut = false;
    if (kind === 'grant' && node) node.isGranting = true;
    if (kind === 'withhold-grants' && node) node.isGranting = false;
    if (kind === 'crash') crashHolder(nodes);
    if (kind === 'hand-over-to-new-process' && node) restart(node);
    if (kind.startsWith('hand-over') && node) {
      const report = await handOver(nodes, node);
      if (report) reports.push(report);
      if (kind !== 'hand-over-unreported') reports.forEach(deliver);
    }
    if (kind === 'late-report') reports.forEach(deliver);
    if (kind === 'suspend') started.clock.suspend(4_000);
    if (kind === 'down') topic.isDown = true;
    if (kind === 'up') topic.isDown = false;
    if (kind === 'lost' || kind === 'late') topic.appendFault = kind;
    if (kind === 'release') {
      topic.appendFault = 'none';
      topic.applyDelayedAppends();
    }
    for (let round = 0; round < 8; round += 1) {
      await passTime(100);
      recordOrders();
    }
  }
  stop();
  return observed;
}

/** Set the variable for a longer run. */
const RUNS = Number(process.env['MIMOSATACK_PROPERTY_RUNS'] ?? 100);
const SEED = 20_261_202;

test('with fences no token is ever used by two nodes', async () => {
  await fc.assert(
    fc.asyncProperty(stepLists, async steps => {
      const observed = await runSteps(steps, true);
      const byToken = new Map<number, string>();
      return observed.every(({token, name}) => {
        const user = byToken.get(token) ?? name;
        byToken.set(token, user);
        return user === name;
      });
    }),
    {numRuns: RUNS, seed: SEED},
  );
});

test('without fences two nodes never order within a lease of each other', async () => {
  await fc.assert(
    fc.asyncProperty(stepLists, async steps => {
      const observed = await runSteps(steps, false);
      return observed.every((later, index) =>
        observed
          .slice(0, index)
          .every(
            earlier =>
              earlier.name === later.name ||
              later.atMs - earlier.atMs >= LEASE_MS,
          ),
      );
    }),
    {numRuns: RUNS, seed: SEED},
  );
});

test.run();
