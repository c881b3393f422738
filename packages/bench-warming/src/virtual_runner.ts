/** One runner, and the steward that whichever node holds it runs for it. */
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

/** What a virtual runner works with. */
export interface VirtualRunnerParts {
  clock: ManualClock;
  log: VirtualLog;
  engine: EngineStandIn;
  backendServerId: string;
  failureDomain: number;
  outlook(slot: Slot): ExpectedLoadTimes;
  onReport(engine: EngineState): void;
  /** Whether a node and the runner reach each other. */
  canReach(nodeIndex: number): boolean;
}

const POLL_MS = 500;
/** Long before the start a steward that has nothing to do looks less often. */
const QUIET_POLL_MS = 10_000;
const QUIET_UNTIL_MS = START_MS - 60_000;
const READ_TIMEOUT_MS = 1_000;
const RETRY_READ_MS = 50;
const MAX_FAILED_READS = 3;
const FIRST_SUCCESSOR = 1;
const DRAIN = {clockSkewMs: 500, foldLagMs: 4_000, maxRequestMs: 120_000};

/** A runner under one steward after another. */
export class VirtualRunner {
  /** What the planner has heard last. */
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

  /** Claims the runner for a node, whose steward begins afresh. */
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
    this.begin();
  }

  /** Lets a successor look at the engine whenever a load is due. */
  watch(nodeIndex: number): void {
    const {clock, log, backendServerId, engine} = this.parts;
    const holder = this.nodeIndex;
    const look = (unfinishedBefore: ReadonlySet<string>) => {
      if (this.nodeIndex !== holder || !this.parts.canReach(nodeIndex)) return;
      const slots = log.state.placement.listOnBackendServer(backendServerId);
      const nowMs = clock.wallMs();
      const {shouldTakeOver, incomplete} = checkForTakeover({
        slots,
        engine: engine.readState(),
        rank: FIRST_SUCCESSOR,
        nowMs,
        incompleteBefore: unfinishedBefore,
      });
      if (shouldTakeOver) return this.stepIn(nodeIndex);
      const nextMs = findNextCheckMs(slots, FIRST_SUCCESSOR, nowMs);
      if (nextMs !== null) {
        clock.setTimer(nextMs - nowMs, () => look(incomplete));
      }
    };
    look(new Set());
  }

  /** Acts for the holder under its claim, with a higher rank. */
  private stepIn(nodeIndex: number): void {
    this.nodeIndex = nodeIndex;
    this.rank = FIRST_SUCCESSOR;
    this.begin();
  }

  private begin(): void {
    this.memory = EMPTY_STEWARD_MEMORY;
    this.orderCount = 0;
    this.failedReads = 0;
    this.generation += 1;
    this.look(this.generation);
  }

  /** Stops the steward, as when its node dies. */
  halt(): void {
    this.generation += 1;
  }

  private get epoch(): number {
    const {log, backendServerId} = this.parts;
    return log.state.stewardship.findClaim(backendServerId)?.epoch ?? 0;
  }

  private look(generation: number): void {
    if (generation !== this.generation) return;
    const {clock} = this.parts;
    if (this.parts.canReach(this.nodeIndex)) {
      clock.setTimer(this.step(), () => this.look(generation));
    } else {
      clock.setTimer(READ_TIMEOUT_MS, () => this.failRead(generation));
    }
  }

  private failRead(generation: number): void {
    if (generation !== this.generation) return;
    this.failedReads += 1;
    if (this.failedReads >= MAX_FAILED_READS) this.isLost = true;
    const delayMs = this.isLost ? POLL_MS : RETRY_READ_MS;
    this.parts.clock.setTimer(delayMs, () => this.look(generation));
  }

  /** One decision; gives the wait until the next one. */
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
      findLoadTimes: slot => this.parts.outlook(slot),
      nowMs,
    });
    this.memory = step.memory;
    this.carryOut(step);
    const pollMs = nowMs < QUIET_UNTIL_MS ? QUIET_POLL_MS : POLL_MS;
    const dueMs = (step.nextStepAtMs ?? Infinity) - nowMs;
    return Math.max(1, Math.min(pollMs, dueMs));
  }

  private carryOut(step: StewardStep): void {
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
