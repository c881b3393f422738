/** Simulates a deployment in one process in virtual time. */
import {ManualClock} from '@mimosatack/clock';
import {
  LoadTimeEstimates,
  type WarmingPolicy,
  estimateSlotLoad,
} from '@mimosatack/plan-warming';
import {SeededRandom} from '@mimosatack/random';
import {EngineStandIn, TransferModel} from '@mimosatack/stand-ins';
import {type FencingSupport} from '@mimosatack/types';
import {
  ACCELERATORS,
  ADAPTER_MIB,
  type Deployment,
  MODEL_MIB,
  type MeasuredEvent,
  RUNNER_MIB,
} from './deployment.js';
import {type Fault} from './fault.js';
import {VirtualLog} from './virtual_log.js';
import {VirtualPlanner} from './virtual_planner.js';
import {VirtualRunner} from './virtual_runner.js';

/** Input of one simulation run. */
export interface RunSpec {
  deployment: Deployment;
  events: readonly MeasuredEvent[];
  policy: WarmingPolicy;
  fault: Fault;
  seed: number;
  fencing: FencingSupport;
}

/** Checkpoints cached on each runner's disk at the start. */
const CACHED_CHECKPOINTS = 6;
/** Targets of the injected faults. */
const FAILED_NODE = 0;
const CUT_DOMAIN = 0;
const LOST_RUNNER = 0;

/** Engines, their stewards, a planner, a log and a weight store. */
export class VirtualCluster {
  readonly clock = new ManualClock();
  readonly log = new VirtualLog(this.clock);
  readonly loadTimes = new LoadTimeEstimates();
  readonly runners: VirtualRunner[];
  readonly planner: VirtualPlanner;
  private readonly random: SeededRandom;
  private readonly store: TransferModel;
  private deadNode: number | null = null;
  private cutDomain: number | null = null;

  constructor(private readonly spec: RunSpec) {
    const {deployment, policy, seed} = spec;
    this.random = new SeededRandom(seed);
    this.store = new TransferModel(this.clock, deployment.limits);
    this.loadTimes.setLimits(deployment.limits);
    this.runners = Array.from({length: deployment.runners}, (_unused, index) =>
      this.makeRunner(index),
    );
    this.planner = new VirtualPlanner({...this, policy});
    this.publish();
    this.runners.forEach((runner, index) =>
      runner.claim(index % deployment.nodes),
    );
    this.scheduleFault();
    this.planner.tick();
  }

  findRunner(backendServerId: string): VirtualRunner | undefined {
    return this.runners.find(
      ({parts}) => parts.backendServerId === backendServerId,
    );
  }

  private makeRunner(index: number): VirtualRunner {
    const {deployment, fencing, policy} = this.spec;
    const backendServerId = `r${index}`;
    const failureDomain = index % deployment.failureDomains;
    const engine = new EngineStandIn(
      {
        backendServerId,
        memoryMib: RUNNER_MIB,
        accelerators: ACCELERATORS,
        fencing,
        checksMemory: false,
      },
      this.clock,
      {fetch: (_ref, size, onDone) => this.store.start(size, onDone)},
    );
    engine.cacheCheckpoints(
      Array.from({length: CACHED_CHECKPOINTS}, () => ({
        model: `m${this.random.nextInt(0, deployment.models - 1)}`,
        adapter: null,
        version: 'v1',
        tier: 'disk' as const,
      })),
    );
    const isAdaptive = policy.policyName === 'timetable';
    return new VirtualRunner({
      ...this,
      engine,
      backendServerId,
      failureDomain,
      findLoadTimes: slot => {
        const {configuration} = this.log.state;
        const nowMs = this.clock.wallMs();
        const expected = estimateSlotLoad(
          slot,
          this.loadTimes,
          configuration,
          nowMs,
        );
        // Baselines start loads at the planned time, whatever the store speed is.
        return isAdaptive
          ? expected
          : {...expected, slowdown: 1, storeLoadMs: 0};
      },
      onReport: state => this.loadTimes.observe(state, this.clock.wallMs()),
      canReach: node => this.canReach(node, index),
    });
  }

  private publish(): void {
    const {deployment, events, fencing} = this.spec;
    this.put('team', 'team', {});
    Array.from({length: deployment.models}, (_unused, index) =>
      this.put('model', `m${index}`, {
        pool: 'pool',
        version: 'v1',
        memoryMib: MODEL_MIB,
        adapters:
          index < deployment.adapters ? {a: {memoryMib: ADAPTER_MIB}} : {},
      }),
    );
    this.runners.forEach(({parts}) =>
      this.log.writeNow({
        type: 'register-backend-server',
        backendServerId: parts.backendServerId,
        hostId: parts.backendServerId,
        baseUrl: 'http://127.0.0.1:1',
        pool: 'pool',
        failureDomain: `domain-${parts.failureDomain}`,
        region: 'region',
        fencing,
        accelerators: ACCELERATORS,
        memoryMib: RUNNER_MIB,
      }),
    );
    events.forEach(event => this.publishEvent(event));
  }

  private publishEvent({
    eventId,
    startsAtMs,
    durationMs,
    needs,
  }: MeasuredEvent) {
    const durationMinutes = durationMs / 60_000;
    this.put('template', eventId, {
      team: 'team',
      event: {startsAt: startsAtMs, durationMinutes, needs},
    });
    this.put('event', eventId, {team: 'team', template: eventId});
  }

  private put(
    kind: 'team' | 'model' | 'template' | 'event',
    id: string,
    content: Record<string, unknown>,
  ): void {
    this.log.writeNow({
      type: 'put-document',
      kind,
      id,
      expectedVersion: 0,
      content,
    });
  }

  private scheduleFault(): void {
    const {slowStore, logDown, nodeDies, runnerDies, domainCut} =
      this.spec.fault;
    if (slowStore) {
      this.scheduleAt(slowStore.fromMs, () =>
        this.store.setSlowdown(slowStore.factor),
      );
    }
    if (logDown) {
      this.scheduleAt(logDown.fromMs, () => (this.log.isDown = true));
      this.scheduleAt(logDown.untilMs, () => this.log.restore());
    }
    if (nodeDies) {
      this.scheduleAt(nodeDies.atMs, () => this.killNode());
      this.scheduleAt(nodeDies.atMs + nodeDies.takeoverMs, () =>
        this.takeOver(),
      );
    }
    if (runnerDies) {
      this.scheduleAt(runnerDies.atMs, () => this.loseRunner(LOST_RUNNER));
    }
    if (domainCut) {
      this.scheduleAt(domainCut.atMs, () => this.cutOff());
      this.scheduleAt(domainCut.atMs + domainCut.takeoverMs, () =>
        this.takeOver(),
      );
    }
  }

  private scheduleAt(atMs: number, action: () => void): void {
    this.clock.setTimer(atMs - this.clock.wallMs(), action);
  }

  private killNode(): void {
    this.deadNode = FAILED_NODE;
    this.stopUnreachableStewards();
  }

  /** Stops the stewards of unreachable nodes and lets successors check loads. */
  private stopUnreachableStewards(): void {
    const {fault} = this.spec;
    this.runners
      .filter(runner => !this.isAlive(runner.holder))
      .forEach(runner => {
        runner.stopSteward();
        if (fault.hasWatch) runner.watch(this.findSuccessor(runner));
      });
  }

  /** Returns the next reachable node after the holder. */
  private findSuccessor(runner: VirtualRunner): number {
    const {nodes} = this.spec.deployment;
    const turns = Array.from(
      {length: nodes},
      (_unused, step) => (runner.holder + step) % nodes,
    );
    return turns.find(node => this.isAlive(node)) ?? runner.holder;
  }

  private loseRunner(index: number): void {
    const runner = this.runners[index];
    if (!runner) return;
    runner.lostAtMs = this.clock.wallMs();
    runner.parts.engine.stop();
  }

  /** Makes runners in the domain unreachable and stops the stewards in it. */
  private cutOff(): void {
    this.cutDomain = CUT_DOMAIN;
    this.runners.forEach(runner => {
      if (runner.parts.failureDomain === CUT_DOMAIN) {
        runner.lostAtMs = this.clock.wallMs();
      }
    });
    this.stopUnreachableStewards();
  }

  /** Successors claim the runners of failed or partitioned nodes. */
  private takeOver(): void {
    this.runners
      .filter(runner => !this.isAlive(runner.holder))
      .forEach(runner => runner.claim(this.findSuccessor(runner)));
  }

  private isAlive(node: number): boolean {
    const domain = node % this.spec.deployment.failureDomains;
    return node !== this.deadNode && domain !== this.cutDomain;
  }

  private canReach(node: number, runnerIndex: number): boolean {
    const runner = this.runners[runnerIndex];
    return this.isAlive(node) && runner?.lostAtMs === Infinity;
  }
}
