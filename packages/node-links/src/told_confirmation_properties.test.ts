import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {TestNode} from './confirmation_fixture.js';

const test = suite('the age of knowledge under any order of events');

const NODES = 4;
const STEP_MS = 200;
const MOST_MS = 4_000;
const RUNS = 500;

const steps = fc.array(
  fc.record({
    kind: fc.constantFrom(
      ...(['read', 'hello', 'welcome', 'deliver', 'fetch'] as const),
      ...(['suspend', 'change', 'take-over', 'set-back'] as const),
    ),
    at: fc.nat({max: NODES - 1}),
    delaySteps: fc.nat({max: 30}),
  }),
  {minLength: 10, maxLength: 120},
);

/** Something that a node takes in later; messages may lie unread for long. */
interface Delivery {
  atStep: number;
  deliver: () => void;
}

/** Nodes, a store, and the true time, which none of the nodes knows. */
class World {
  readonly nodes = Array.from({length: NODES}, () => new TestNode());
  trueMs = 0;
  holder = 0;
  /** When each version was taken by the store. */
  readonly takenAtMs = new Map([[3, 0]]);
  newest = 3;

  /** A node that is sure of an older version may be sure no longer than this. */
  findOldestDoubtMs(): number {
    const ages = this.nodes.flatMap(({ageMs, version}) => {
      const outdatedAtMs = this.takenAtMs.get(version + 1);
      if (outdatedAtMs === undefined || ageMs >= MOST_MS) return [];
      return [this.trueMs - outdatedAtMs];
    });
    return Math.max(0, ...ages);
  }

  pass(ms: number): void {
    this.trueMs += ms;
    this.nodes.forEach(({host}) => host.advance(ms));
  }

  /** The steady clock of one host stands still meanwhile. */
  suspend(at: number, ms: number): void {
    this.trueMs += ms;
    this.nodes.forEach(({host}, other) =>
      other === at ? host.suspend(ms) : host.advance(ms),
    );
  }

  node(at: number): TestNode {
    const node = this.nodes[at];
    if (!node) throw new Error('There is no such node.');
    return node;
  }
}

test('no node is sure of a version for longer than the bound', () => {
  fc.assert(
    fc.property(steps, taken => {
      const world = new World();
      const deliveries: Delivery[] = [];
      taken.forEach(({kind, at, delaySteps}, step) => {
        const node = world.node(at);
        const later = (deliver: () => void) =>
          deliveries.push({atStep: step + delaySteps, deliver});
        const holder = world.node(world.holder);
        const holderName = `h${world.holder}`;
        switch (kind) {
          case 'read': {
            // The store answers at once, and the answer takes its time.
            const startedAtMs = node.nowMs;
            const {newest} = world;
            later(() => {
              node.version = Math.max(node.version, newest);
              node.noteConfirmed(newest, startedAtMs);
            });
            break;
          }
          case 'hello': {
            const hello = node.hello(holderName);
            later(() => holder.told.takeHello(hello));
            break;
          }
          case 'welcome': {
            const sentAtMs = node.nowMs;
            const welcome = holder.describe();
            later(() => node.told.takeWelcome(holderName, welcome, sentAtMs));
            break;
          }
          case 'fetch':
            node.version = Math.max(node.version, holder.version);
            break;
          case 'suspend':
            world.suspend(at, delaySteps * STEP_MS);
            break;
          case 'set-back':
            node.host.suspend(-delaySteps * STEP_MS);
            node.clock.monotonicMs();
            break;
          case 'change':
            world.newest += 1;
            world.takenAtMs.set(world.newest, world.trueMs);
            break;
          case 'take-over':
            world.holder = at;
            break;
          default:
            world.pass(STEP_MS);
        }
        deliveries
          .filter(({atStep}) => atStep === step)
          .forEach(({deliver}) => deliver());
        const doubtMs = world.findOldestDoubtMs();
        assert.ok(doubtMs < MOST_MS, `${doubtMs}`);
      });
    }),
    {numRuns: RUNS, seed: 1},
  );
});

test.run();
