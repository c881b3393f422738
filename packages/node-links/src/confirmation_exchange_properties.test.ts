import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {TestNode} from './confirmation_fixture.js';

const test = suite('age of the confirmation under any order of events');

const NODE_COUNT = 4;
const STEP_MS = 200;
const MAX_AGE_MS = 4_000;
const RUNS = 500;

const eventSequences = fc.array(
  fc.record({
    kind: fc.constantFrom(
      ...(['read', 'hello', 'welcome', 'deliver', 'fetch'] as const),
      ...(['suspend', 'change', 'take-over', 'set-back'] as const),
    ),
    at: fc.nat({max: NODE_COUNT - 1}),
    delaySteps: fc.nat({max: 30}),
  }),
  {minLength: 10, maxLength: 120},
);

/** A message or store reply that a node processes with a delay. */
interface Delivery {
  atStep: number;
  deliver: () => void;
}

/** Simulated nodes and store, with the true time that no node can read. */
class Simulation {
  readonly nodes = Array.from({length: NODE_COUNT}, () => new TestNode());
  trueMs = 0;
  holder = 0;
  /** When the store accepted each version. */
  readonly acceptedAtMs = new Map([[3, 0]]);
  newest = 3;

  /** Longest time that a node with a valid confirmation has been outdated. */
  findMaxOutdatedMs(): number {
    const ages = this.nodes.flatMap(({ageMs, version}) => {
      const outdatedAtMs = this.acceptedAtMs.get(version + 1);
      if (outdatedAtMs === undefined || ageMs >= MAX_AGE_MS) return [];
      return [this.trueMs - outdatedAtMs];
    });
    return Math.max(0, ...ages);
  }

  advance(ms: number): void {
    this.trueMs += ms;
    this.nodes.forEach(({host}) => host.advance(ms));
  }

  /** Stops the monotonic clock of one host for `ms`. */
  suspend(at: number, ms: number): void {
    this.trueMs += ms;
    this.nodes.forEach(({host}, other) =>
      other === at ? host.suspend(ms) : host.advance(ms),
    );
  }

  node(at: number): TestNode {
    const node = this.nodes[at];
    if (!node) throw new Error('node index is out of range');
    return node;
  }
}

test('no node is sure of a version for longer than the bound', () => {
  fc.assert(
    fc.property(eventSequences, events => {
      const simulation = new Simulation();
      const deliveries: Delivery[] = [];
      events.forEach(({kind, at, delaySteps}, step) => {
        const node = simulation.node(at);
        const schedule = (deliver: () => void) =>
          deliveries.push({atStep: step + delaySteps, deliver});
        const holder = simulation.node(simulation.holder);
        const holderName = `h${simulation.holder}`;
        switch (kind) {
          case 'read': {
            // The store answers at once; the reply arrives later.
            const startedAtMs = node.nowMs;
            const {newest} = simulation;
            schedule(() => {
              node.version = Math.max(node.version, newest);
              node.noteConfirmed(newest, startedAtMs);
            });
            break;
          }
          case 'hello': {
            const hello = node.hello(holderName);
            schedule(() => holder.confirmation.handleHello(hello));
            break;
          }
          case 'welcome': {
            const sentAtMs = node.nowMs;
            const welcome = holder.describe();
            schedule(() =>
              node.confirmation.handleWelcome(
                {incarnation: holderName, nodeName: holderName},
                welcome,
                sentAtMs,
              ),
            );
            break;
          }
          case 'fetch':
            node.version = Math.max(node.version, holder.version);
            break;
          case 'suspend':
            simulation.suspend(at, delaySteps * STEP_MS);
            break;
          case 'set-back':
            node.host.suspend(-delaySteps * STEP_MS);
            node.clock.monotonicMs();
            break;
          case 'change':
            simulation.newest += 1;
            simulation.acceptedAtMs.set(simulation.newest, simulation.trueMs);
            break;
          case 'take-over':
            simulation.holder = at;
            break;
          default:
            simulation.advance(STEP_MS);
        }
        deliveries
          .filter(({atStep}) => atStep === step)
          .forEach(({deliver}) => deliver());
        const outdatedMs = simulation.findMaxOutdatedMs();
        assert.ok(outdatedMs < MAX_AGE_MS, `${outdatedMs}`);
      });
    }),
    {numRuns: RUNS, seed: 1},
  );
});

test.run();
