/** A simulated engine that records orders which exceed its limits. */
import {
  type EngineReport,
  type PlannedOrder,
  type ScheduledRequest,
} from '@mimosatack/schedule-models';
import {
  type BackendServerEntry,
  type EngineSpec,
  type ModelSpec,
} from '@mimosatack/types';
import {SERVICE_NAME} from './deployment.js';
import {
  type FinishedRun,
  EngineBatch,
  type EngineSpeed,
} from './engine_batch.js';

/** Response of an engine to an order; `holds`: already in that state. */
export type OrderAnswer = 'accepted' | 'holds' | 'conflict' | 'refused';

/** A model that is loading or loaded in the engine's memory. */
interface HeldModel {
  readyAtMs: number;
  adapters: Set<string>;
  runs: number;
}

interface Snapshot {
  atMs: number;
  report: EngineReport;
}

const UNLOAD_MS = 50;
/** Age of the state in a report. */
const REPORT_LAG_MS = 200;
const MAX_HOST_MEMORY_MODELS = 2;

export class VirtualEngine {
  readonly held = new Map<string, HeldModel>();
  /** Violations of the memory and adapter limits, as messages. */
  readonly breaches: string[] = [];
  storeLoads: number[] = [];
  orderCount = 0;
  isDown = false;
  private busyUntilMs = 0;
  private unloading: {model: string; unloadedAtMs: number} | null = null;
  private readonly hostMemoryModels: string[] = [];
  private readonly diskModels: string[];
  private snapshots: Snapshot[] = [];
  private readonly batch: EngineBatch;

  constructor(
    readonly id: string,
    private readonly spec: EngineSpec,
    speed: EngineSpeed,
    heldModels: readonly string[],
    onDisk: readonly string[],
  ) {
    this.batch = new EngineBatch(speed);
    this.diskModels = [...onDisk];
    heldModels.forEach(model =>
      this.held.set(model, {readyAtMs: 0, adapters: new Set(), runs: 0}),
    );
  }

  describe(): BackendServerEntry {
    return {
      id: this.id,
      startedAtMs: null,
      service: SERVICE_NAME,
      softwareVersion: 'v1',
      address: {ip: '127.0.0.1', port: 1},
      failureDomain: 'a',
      slots: this.spec.slots,
      state: 'ready',
      leavesInMs: null,
      residents: [...this.held].map(([model, {adapters}]) => ({
        ...{model, version: 1},
        adapters: [...adapters],
      })),
      near: {
        inHostMemory: [...this.hostMemoryModels],
        onDisk: [...this.diskModels],
      },
    };
  }

  /** Executes an order or returns the reason for rejecting it. */
  order(order: PlannedOrder, nowMs: number): OrderAnswer {
    this.finishUnload(nowMs);
    if (order.expectedCount !== this.orderCount) return 'conflict';
    const answer =
      order.adapter === null
        ? this.orderModel(order, nowMs)
        : this.orderAdapter(order, nowMs);
    if (answer === 'accepted') this.orderCount += 1;
    this.recordSnapshot(nowMs);
    return answer;
  }

  /** Returns the state of `REPORT_LAG_MS` ago. */
  report(nowMs: number): EngineReport {
    this.recordSnapshot(nowMs);
    const snapshot = this.snapshots.findLast(
      ({atMs}) => atMs <= nowMs - REPORT_LAG_MS,
    );
    return (snapshot ?? this.snapshots[0] ?? {report: this.buildReport(nowMs)})
      .report;
  }

  canRun(model: string, adapter: string | null, nowMs: number): boolean {
    this.finishUnload(nowMs);
    const held = this.held.get(model);
    if (this.isDown || !held || held.readyAtMs > nowMs) return false;
    if (this.unloading?.model === model) return false;
    return adapter === null || held.adapters.has(adapter);
  }

  begin(request: ScheduledRequest, nowMs: number): void {
    const held = this.held.get(request.model);
    if (held) held.runs += 1;
    this.batch.begin(request, nowMs);
  }

  /** Simulates up to `nowMs` and returns the runs that have finished. */
  advance(nowMs: number): FinishedRun[] {
    const ended = this.batch.advance(nowMs);
    ended.forEach(({request}) => {
      const held = this.held.get(request.model);
      if (held) held.runs -= 1;
    });
    return ended;
  }

  private orderModel(
    {operation, model}: PlannedOrder,
    nowMs: number,
  ): OrderAnswer {
    if (nowMs < this.busyUntilMs || this.unloading) return 'conflict';
    const isHeld = this.held.has(model);
    if (operation === 'unload') {
      if (!isHeld) return 'holds';
      this.unloading = {model, unloadedAtMs: nowMs + UNLOAD_MS};
      return 'accepted';
    }
    if (isHeld) return 'holds';
    const loadMs = this.findLoadMs(model, nowMs);
    this.held.set(model, {
      readyAtMs: nowMs + loadMs,
      adapters: new Set(),
      runs: 0,
    });
    this.busyUntilMs = nowMs + loadMs;
    this.cacheWeights(model);
    this.checkMemory(model);
    return 'accepted';
  }

  private orderAdapter(
    {operation, model, adapter}: PlannedOrder,
    nowMs: number,
  ): OrderAnswer {
    if (nowMs < this.busyUntilMs || this.unloading) return 'conflict';
    const held = this.held.get(model);
    if (!held || adapter === null) return 'refused';
    if (operation === 'unload') {
      return held.adapters.delete(adapter) ? 'accepted' : 'holds';
    }
    if (held.adapters.has(adapter)) return 'holds';
    held.adapters.add(adapter);
    this.checkMemory(model);
    return 'accepted';
  }

  private finishUnload(nowMs: number): void {
    const {unloading} = this;
    if (!unloading || nowMs < unloading.unloadedAtMs) return;
    if ((this.held.get(unloading.model)?.runs ?? 0) > 0) return;
    this.held.delete(unloading.model);
    this.unloading = null;
    this.recordSnapshot(nowMs);
  }

  private findLoadMs(model: string, nowMs: number): number {
    const spec = this.findSpec(model);
    if (this.hostMemoryModels.includes(model)) return spec.hostMemoryLoadMs;
    if (this.diskModels.includes(model)) return spec.diskLoadMs;
    this.storeLoads.push(nowMs);
    return spec.storeLoadMs;
  }

  private cacheWeights(model: string): void {
    const others = this.hostMemoryModels.filter(other => other !== model);
    this.hostMemoryModels.splice(
      0,
      this.hostMemoryModels.length,
      model,
      ...others,
    );
    this.hostMemoryModels.length = Math.min(
      this.hostMemoryModels.length,
      MAX_HOST_MEMORY_MODELS,
    );
    if (!this.diskModels.includes(model)) this.diskModels.push(model);
  }

  private checkMemory(model: string): void {
    const usedMb = [...this.held].reduce(
      (sum, [name, {adapters}]) =>
        sum +
        this.findSpec(name).memoryMb +
        adapters.size * this.findSpec(name).adapterMb,
      0,
    );
    const adapters = [...this.held.values()].reduce(
      (sum, held) => sum + held.adapters.size,
      0,
    );
    if (usedMb > this.spec.memoryMb) {
      this.breaches.push(`${this.id} exceeds its memory with ${model}`);
    }
    if (adapters > this.spec.adapterSlots) {
      this.breaches.push(
        `${this.id} exceeds its adapter slots with an adapter of ${model}`,
      );
    }
  }

  private findSpec(model: string): ModelSpec {
    const spec = this.spec.models.find(other => other.model === model);
    if (!spec) throw new Error(`Unknown model ${model}.`);
    return spec;
  }

  private recordSnapshot(nowMs: number): void {
    this.snapshots.push({atMs: nowMs, report: this.buildReport(nowMs)});
    const oldestMs = nowMs - 2 * REPORT_LAG_MS;
    const firstKept = this.snapshots.findLastIndex(({atMs}) => atMs < oldestMs);
    this.snapshots = this.snapshots.slice(Math.max(0, firstKept));
  }

  private buildReport(nowMs: number): EngineReport {
    return {
      startedAtMs: null,
      orderCount: this.orderCount,
      isBusy: nowMs < this.busyUntilMs || this.unloading !== null,
      residents: [...this.held].map(([model, {adapters}]) => ({
        model,
        adapters: [...adapters],
      })),
    };
  }
}
