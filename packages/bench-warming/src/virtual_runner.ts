/** One runner and the steward of the node that holds its claim. */
import {type Slot} from '@mimosatack/agreed-state';
import {type ManualClock} from '@mimosatack/clock';
import {type EngineStandIn} from '@mimosatack/stand-ins';
import {
  EMPTY_STEWARD_MEMORY,
  type ExpectedLoadTimes,
  type StewardStep,
  decideSteward,
  findNextCheckMs,
  makeFencingNumber,
  checkForTakeover,
} from '@mimosatack/steward-orders';
import {type EngineState} from '@mimosatack/types';
import {ADAPTER_MIB, START_MS} from './deployment.js';
import {type VirtualLog} from './virtual_log.js';

export interface VirtualRunnerParts {
  clock: ManualClock;
  log: VirtualLog;
  engine: EngineStandIn;
  backendServerId: string;
  failureDomain: number;
  findLoadTimes(slot: Slot): ExpectedLoadTimes;
  onReport(engine: EngineState): void;
  canReach(nodeIndex: number): boolean;
}

const POLL_MS = 500;
/** Longer interval that applies until a minute before the first start. */
const EARLY_POLL_MS = 10_000;
const EARLY_UNTIL_MS = START_MS - 60_000;
const READ_TIMEOUT_MS = 1_000;
const RETRY_READ_MS = 50;
const MAX_FAILED_READS = 3;
const FIRST_SUCCESSOR = 1;
const DRAIN = {clockSkewMs: 500, foldLagMs: 4_000, maxRequestMs: 120_000};

export class VirtualRunner {
  /** The last report to the planner. */
  report: EngineState | null = null;
  isLost = false;
  lostAtMs = Infinity;
  private nodeIndex = 0;
  private rank = 0;
  private memory = EMPTY_STEWARD_MEMORY;
  private orderCount = 0;
  private failedReads = 0;
  private generation = 0;

  constructor(readonly parts: VirtualRunnerParts) {}

  get holder(): number {
    return this.nodeIndex;
  }

  /** Claims the runner for a node and starts a new steward. */
  claim(nodeIndex: number): void {
    const {log, backendServerId} = this.parts;
    this.nodeIndex = nodeIndex;
    this.rank = 0;
    log.writeNow(
      {
        type: 'claim-steward',
        backendServerId,
        expectedEpoch: this.epoch,
        successors: [],
      },
      `node-${nodeIndex}`,
    );
    this.startSteward();
  }

  /** Lets a successor check the engine each time a load is due. */
  watch(nodeIndex: number): void {
    const {clock, log, backendServerId, engine} = this.parts;
    const holder = this.nodeIndex;
    const check = (incompleteBefore: ReadonlySet<string>) => {
      if (this.nodeIndex !== holder || !this.parts.canReach(nodeIndex)) return;
      const slots = log.state.placement.listOnBackendServer(backendServerId);
      const nowMs = clock.wallMs();
      const {shouldTakeOver, incomplete} = checkForTakeover({
        slots,
        engine: engine.readState(),
        rank: FIRST_SUCCESSOR,
        nowMs,
        incompleteBefore,
      });
      if (shouldTakeOver) return this.actAsSuccessor(nodeIndex);
      const nextMs = findNextCheckMs(slots, FIRST_SUCCESSOR, nowMs);
      if (nextMs !== null) {
        clock.setTimer(nextMs - nowMs, () => check(incomplete));
      }
    };
    check(new Set());
  }

  /** Sends orders under the holder's claim with a higher rank. */
  private actAsSuccessor(nodeIndex: number): void {
    this.nodeIndex = nodeIndex;
    this.rank = FIRST_SUCCESSOR;
    this.startSteward();
  }

  private startSteward(): void {
    this.memory = EMPTY_STEWARD_MEMORY;
    this.orderCount = 0;
    this.failedReads = 0;
    this.generation += 1;
    this.poll(this.generation);
  }

  /** Stops the steward, as after a crash of its node. */
  stopSteward(): void {
    this.generation += 1;
  }

  private get epoch(): number {
    const {log, backendServerId} = this.parts;
    return log.state.stewardship.findClaim(backendServerId)?.epoch ?? 0;
  }

  private poll(generation: number): void {
    if (generation !== this.generation) return;
    const {clock} = this.parts;
    if (this.parts.canReach(this.nodeIndex)) {
      clock.setTimer(this.step(), () => this.poll(generation));
    } else {
      clock.setTimer(READ_TIMEOUT_MS, () => this.recordFailedRead(generation));
    }
  }

  private recordFailedRead(generation: number): void {
    if (generation !== this.generation) return;
    this.failedReads += 1;
    if (this.failedReads >= MAX_FAILED_READS) this.isLost = true;
    const delayMs = this.isLost ? POLL_MS : RETRY_READ_MS;
    this.parts.clock.setTimer(delayMs, () => this.poll(generation));
  }

  /** Makes one decision and returns the delay until the next one in ms. */
  private step(): number {
    const {clock, log, engine, backendServerId} = this.parts;
    const nowMs = clock.wallMs();
    const state = engine.readState();
    this.failedReads = 0;
    this.isLost = false;
    this.report = state;
    this.parts.onReport(state);
    const step = decideSteward({
      slots: log.state.placement.listOnBackendServer(backendServerId),
      engine: state,
      memory: this.memory,
      unansweredSlotIds: new Set(),
      reservedMib: 0,
      mayReceivePreviousOrders:
        log.state.stewardship.listInDoubtClaims(backendServerId).length > 0,
      memoryOfAdapter: () => ADAPTER_MIB,
      drain: DRAIN,
      findLoadTimes: slot => this.parts.findLoadTimes(slot),
      nowMs,
    });
    this.memory = step.memory;
    this.applyStep(step);
    const pollMs = nowMs < EARLY_UNTIL_MS ? EARLY_POLL_MS : POLL_MS;
    const dueMs = (step.nextStepAtMs ?? Infinity) - nowMs;
    return Math.max(1, Math.min(pollMs, dueMs));
  }

  private applyStep(step: StewardStep): void {
    const {engine, log, backendServerId} = this.parts;
    const author = `node-${this.nodeIndex}`;
    step.orders.forEach(order => {
      this.orderCount += 1;
      const orderId = `${this.epoch}-${this.orderCount}`;
      const fencingNumber = makeFencingNumber({
        epoch: this.epoch,
        rank: this.rank,
        orderCount: this.orderCount,
      });
      engine.applyOrder({...order, orderId, fencingNumber});
    });
    if (step.overdue.length > 0) {
      log.submit(
        {type: 'end-slots', slotIds: step.overdue, reason: 'event-over'},
        author,
      );
    }
    if (step.released.length > 0) {
      log.submit(
        {
          type: 'release-slots',
          backendServerId,
          epoch: this.epoch,
          slotIds: step.released,
        },
        author,
      );
    }
  }
}
