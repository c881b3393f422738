/** Test nodes that share one duty, one manual clock and one in-memory topic. */
import {ManualClock} from '@mimosatack/clock';
import {flushPendingCallbacks} from '@mimosatack/fakes';
import {
  type AppendCondition,
  type KeyedTopic,
  type KeyedWrite,
  MemoryKeyedTopic,
  type ReadTerms,
  StoreContact,
} from '@mimosatack/keyed-store';
import {SeededRandom} from '@mimosatack/random';
import {DutyTask, type HolderContact} from './duty_task.js';

export const LEASE_MS = 3_000;
export const GRANT_MS = 1_500;
/** The target that the test nodes send orders to. */
export const TARGET = 'e1';

/** One node's connection to the topic, which a test can cut. */
class CuttableTopic implements KeyedTopic {
  isCut = false;

  constructor(private readonly topic: MemoryKeyedTopic) {}

  get era() {
    return this.topic.era;
  }

  readonly contact = new StoreContact();

  async readSnapshot() {
    this.failIfCut();
    return this.topic.readSnapshot();
  }

  async readFrom(offset: number, waitMs: number, terms?: ReadTerms) {
    this.failIfCut();
    const outcome = await this.topic.readFrom(offset, waitMs, terms);
    this.failIfCut();
    return outcome;
  }

  async append(writes: readonly KeyedWrite[], condition?: AppendCondition) {
    this.failIfCut();
    return this.topic.append(writes, condition);
  }

  private failIfCut(): void {
    if (this.isCut) throw new Error('The connection to the store is cut.');
  }
}

/** A node whose view of the holder is set by the test. */
export interface TestNode {
  name: string;
  incarnation: string;
  task: DutyTask;
  makeTask: (incarnation: string) => DutyTask;
  storeLink: CuttableTopic;
  contact: HolderContact;
  /** Whether its heartbeats, with its lease grants, reach the holder. */
  isGranting: boolean;
  grantEndsAtMs: number;
  hasCrashed: boolean;
  /** When the test last observed that the node was allowed to send orders. */
  lastOrderAtMs: number;
}

function makeNode(
  name: string,
  rank: number,
  setup: {
    clock: ManualClock;
    topic: MemoryKeyedTopic;
    isFenced: boolean;
    nodes: TestNode[];
  },
): TestNode {
  const {clock, topic, isFenced, nodes} = setup;
  const findGrantsEndMs = (self: TestNode, sinceMs: number) =>
    Math.min(
      ...nodes
        .filter(other => other !== self)
        .map(({grantEndsAtMs}) =>
          grantEndsAtMs - GRANT_MS > sinceMs ? grantEndsAtMs : -Infinity,
        ),
    );
  const storeLink = new CuttableTopic(topic);
  const makeTask = (incarnation: string) =>
    new DutyTask({
      ...{
        clock,
        isFenced,
        topic: storeLink,
        random: new SeededRandom(rank + 1),
      },
      key: 'scheduler',
      self: {nodeName: name, incarnation, address: `${name}:1`},
      findHolderContact: () => (node.task.isHeld ? 'alive' : node.contact),
      findRank: () => rank,
      isReachedByOthers: () => false,
      claimHoldOffUntilMs: () => -Infinity,
      isGrantorOf: () => true,
      ownGrantEndsAtMs: () => node.grantEndsAtMs,
      findGrantsEndMs: (_token, sinceMs) => findGrantsEndMs(node, sinceMs),
      leaseMs: LEASE_MS,
      isEligible: () => true,
      onHolder: () => undefined,
      onLeftOut: () => undefined,
      onLost: () => undefined,
      onRegained: () => undefined,
    });
  const incarnation = `${name}.1`;
  const node: TestNode = {
    ...{name, incarnation, storeLink, makeTask},
    contact: 'alive',
    isGranting: false,
    grantEndsAtMs: -Infinity,
    ...{hasCrashed: false, lastOrderAtMs: -Infinity},
    task: makeTask(incarnation),
  };
  return node;
}

export function startNodes(
  names: readonly string[],
  isFenced = true,
  clock = new ManualClock(),
) {
  const topic = new MemoryKeyedTopic();
  const nodes: TestNode[] = [];
  names.forEach((name, rank) =>
    nodes.push(makeNode(name, rank, {clock, topic, isFenced, nodes})),
  );
  const sendGrants = () =>
    nodes
      .filter(node => node.isGranting && node.contact === 'alive')
      .filter(node => !node.hasCrashed)
      .forEach(node => (node.grantEndsAtMs = clock.monotonicMs() + GRANT_MS));
  nodes.forEach(({task}) => task.start());
  const passTime = async (ms: number) => {
    for (let passed = 0; passed < ms; passed += 50) {
      clock.advance(50);
      sendGrants();
      await flushPendingCallbacks();
    }
  };
  const mayOrder = ({task, hasCrashed}: TestNode) =>
    !hasCrashed &&
    task.findAuthority() !== null &&
    clock.monotonicMs() >= task.findOrdersBlockedUntilMs(TARGET);
  let restarts = 1;
  /** Replaces the process of a node that does not hold the duty by a new one. */
  const restart = (node: TestNode) => {
    if (node.task.isHeld || node.hasCrashed) return;
    node.task.stop();
    restarts += 1;
    node.incarnation = `${node.name}.${restarts}`;
    node.task = node.makeTask(node.incarnation);
    node.lastOrderAtMs = -Infinity;
    node.task.start();
  };
  const listHolders = () => nodes.filter(mayOrder).map(({name}) => name);
  const stop = () => nodes.forEach(({task}) => task.stop());
  return {clock, topic, nodes, passTime, listHolders, mayOrder, restart, stop};
}

export function findNode(nodes: readonly TestNode[], name: string): TestNode {
  const node = nodes.find(other => other.name === name);
  if (!node) throw new Error(`No node ${name}.`);
  return node;
}
