import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {TestNode} from './confirmation_fixture.js';

const test = suite('age of the confirmation under any order of events');

const NODE_COUNT = 4;
const STEP_MS = 200;
const MAX_AGE_MS = 4_000;
const RUNS = 2_000;

const eventSequences = fc.array(
  fc.record({
    kind: fc.constantFrom(
      ...(['read', 'hello', 'welcome', 'deliver', 'fetch'] as const),
      ...(['suspend', 'change', 'take-over', 'set-back', 'restart'] as const),
    ),
    at: fc.nat({max: NODE_COUNT - 1}),
    delaySteps: fc.nat({max: 30}),
  }),
  {minLength: 10, maxLength: 400, size: 'max'},
);

/** A message or store reply that a node processes with a delay. */
interface Delivery {
  atStep: number;
  deliver: () => void;
}

/** Simulated nodes and store, with the true time that no node can read. */
class Simulation {
  readonly nodes = Array.from(
    {length: NODE_COUNT},
    (_, at) => new TestNode(`n${at}.0`),
  );
  trueMs = 0;
  /** The node at whose address heartbeats arrive. */
  holder = 0;
  /** The process that all nodes take for the holder; it may have been replaced. */
  holderIncarnation = 'n0.0';
  private restarts = 0;
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

  /** Replaces the process of a node, which gets its configuration from another one. */
  restart(at: number): void {
    const {version} = this.node((at + 1) % NODE_COUNT);
    this.restarts += 1;
    const started = new TestNode(`n${at}.${this.restarts}`);
    started.version = version;
    this.nodes[at] = started;
  }

  takeOver(at: number): void {
    this.holder = at;
    this.holderIncarnation = this.node(at).incarnation;
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
        const {holder: holderAt, holderIncarnation} = simulation;
        const holder = simulation.node(holderAt);
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
            const hello = node.hello(holderIncarnation);
            schedule(() => simulation.node(holderAt).receive(hello));
            break;
          }
          case 'welcome': {
            const sentAtMs = node.nowMs;
            const welcome = holder.describe();
            const {incarnation} = holder;
            if (incarnation !== holderIncarnation) break;
            schedule(() =>
              node.confirmation.handleWelcome(
                {incarnation, nodeName: incarnation},
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
            simulation.takeOver(at);
            break;
          case 'restart':
            simulation.restart(at);
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
