/** Simulates teams that compete for four engines, without a network. */
import {VirtualCounters, type FairOrder} from '@mimosatack/share-capacity';
import {SeededRandom} from '@mimosatack/random';
import {BatchWorthPolicy} from './policies.js';
import {type Decision, type ScheduledRequest} from './scheduled_request.js';
import {ModelScheduler} from './scheduler.js';
import {makeEngine, makeRequest, makeService} from './scheduler_fixture.js';
import {type RequestItem} from './waiting_requests.js';

const STEP_MS = 5;
const SLOTS = 8;
/** Together with the slots, four engines complete 71 requests per second. */
const HOLD_MS = 450;
const PREFILL_MS = 27;
const ENGINE_IDS = ['e1', 'e2', 'e3', 'e4'];
const URGENT_FRACTION = 0.6;
const PATIENCE_MS = 2_400;

export interface ShareScenario {
  /** Requests per second of each team from `burstMs` on; before it at most 15. */
  perSecond: Readonly<Record<string, number>>;
  models?: readonly string[];
  /** Engine `e4` takes no requests from this time on. */
  lostAtMs?: number;
  /** A new scheduler takes over at this time. */
  takeoverAtMs?: number;
  makeOrder?: () => FairOrder<RequestItem>;
  seed?: number;
}

export interface ScenarioRequest {
  request: ScheduledRequest;
  team: string;
  end: 'waiting' | 'running' | 'served' | 'refused';
  /** When it started or was refused. */
  decidedAtMs: number;
  retryAfterMs: number;
}

interface Run {
  asked: ScenarioRequest;
  engineId: string;
  endsAtMs: number;
}

export const BURST_MS = 1_500;
export const SCENARIO_END_MS = 11_500;

/** Plays one scenario and keeps what became of each request. */
export class ShareSimulation {
  readonly asked: ScenarioRequest[] = [];
  private readonly byAskId = new Map<string, ScenarioRequest>();
  private scheduler: ModelScheduler;
  private runs: Run[] = [];
  private nowMs = 0;
  private busySlotMs = 0;
  private offeredSlotMs = 0;
  private readonly random: SeededRandom;
  private readonly nextArrivalMs = new Map<string, number>();

  constructor(private readonly scenario: ShareScenario) {
    this.random = new SeededRandom(scenario.seed ?? 7);
    this.scheduler = this.makeScheduler();
  }

  /** Fraction of the slots in use while the burst lasts. */
  get utilization(): number {
    return this.busySlotMs / this.offeredSlotMs;
  }

  run(): this {
    for (; this.nowMs < SCENARIO_END_MS; this.nowMs += STEP_MS) {
      if (this.nowMs === this.scenario.lostAtMs) this.loseEngine();
      if (this.nowMs === this.scenario.takeoverAtMs) this.takeOver();
      this.endRuns();
      this.sendRequests();
      this.scheduler.decide(this.nowMs).forEach(one => this.apply(one));
      if (this.nowMs < BURST_MS + 500) continue;
      this.busySlotMs += this.runs.length;
      this.offeredSlotMs += this.listEngineIds().length * SLOTS;
    }
    return this;
  }

  private makeScheduler(): ModelScheduler {
    const scheduler = new ModelScheduler({
      policy: new BatchWorthPolicy(),
      makeOrder: this.scenario.makeOrder ?? (() => new VirtualCounters()),
    });
    const {engine, ...service} = makeService();
    if (!engine) throw new Error('The service has no engines.');
    const teams = Object.keys(this.scenario.perSecond);
    scheduler.configure(
      [{...service, engine: {...engine, slots: SLOTS}}],
      new Map(teams.map(team => [team, 1])),
    );
    const {models = ['hot']} = this.scenario;
    this.listEngineIds().forEach((id, at) => {
      // Each model but the first is held by half of the engines.
      const held = models.filter((_, index) => index === 0 || at % 2 === 0);
      scheduler.putEngine(makeEngine(id, held), this.nowMs);
    });
    return scheduler;
  }

  private listEngineIds(): string[] {
    const {lostAtMs = Infinity} = this.scenario;
    return ENGINE_IDS.filter(id => id !== 'e4' || this.nowMs < lostAtMs);
  }

  private loseEngine(): void {
    this.runs
      .filter(({engineId}) => engineId === 'e4')
      .forEach(({asked, engineId}) => {
        const {askId} = asked.request;
        asked.end = 'waiting';
        this.scheduler.recordEnd(askId, engineId, 'failed', null, this.nowMs);
        this.scheduler.enqueue(asked.request, this.nowMs);
      });
    this.runs = this.runs.filter(({engineId}) => engineId !== 'e4');
    this.scheduler.removeEngine('e4');
  }

  private takeOver(): void {
    this.scheduler = this.makeScheduler();
    this.asked
      .filter(({end}) => end === 'waiting')
      .forEach(({request}) => this.scheduler.enqueue(request, this.nowMs));
    this.runs.forEach(({asked, engineId}) =>
      this.scheduler.recordRunning(asked.request, engineId, this.nowMs),
    );
  }

  private sendRequests(): void {
    Object.entries(this.scenario.perSecond).forEach(([team, rate]) => {
      const perSecond = this.nowMs < BURST_MS ? Math.min(15, rate) : rate;
      const nextMs = this.nextArrivalMs.get(team) ?? 0;
      if (nextMs > this.nowMs) return;
      const intervalMs =
        (0.5 + this.random.nextFraction()) * (1_000 / perSecond);
      this.nextArrivalMs.set(team, nextMs + intervalMs);
      this.send(team);
    });
  }

  private send(team: string): void {
    const {models = ['hot']} = this.scenario;
    const model =
      models[Math.floor(this.random.nextFraction() * models.length)] ?? 'hot';
    const priority = this.random.nextFraction() < URGENT_FRACTION ? 0 : 2;
    const askId = `${team}.${this.asked.length}`;
    const endsAtMs = this.nowMs + PATIENCE_MS;
    const request = {
      ...makeRequest(askId, model, this.nowMs),
      ...{team, priority, endsAtMs},
    };
    const asked: ScenarioRequest = {
      ...{request, team, end: 'waiting'},
      ...{decidedAtMs: Infinity, retryAfterMs: 0},
    };
    this.asked.push(asked);
    this.byAskId.set(askId, asked);
    this.scheduler.enqueue(request, this.nowMs);
  }

  private apply(decision: Decision): void {
    if (decision.kind === 'order') return;
    const asked = this.byAskId.get(decision.askId);
    if (!asked) return;
    asked.decidedAtMs = this.nowMs;
    if (decision.kind === 'refuse') {
      asked.end = 'refused';
      asked.retryAfterMs = decision.retryAfterMs;
      return;
    }
    asked.end = 'running';
    const holdMs = HOLD_MS * (0.8 + 0.4 * this.random.nextFraction());
    const endsAtMs = this.nowMs + holdMs;
    this.runs.push({asked, engineId: decision.engineId, endsAtMs});
  }

  private endRuns(): void {
    const ended = this.runs.filter(({endsAtMs}) => endsAtMs <= this.nowMs);
    this.runs = this.runs.filter(({endsAtMs}) => endsAtMs > this.nowMs);
    ended.forEach(({asked, engineId}) => {
      asked.end = 'served';
      const {askId} = asked.request;
      this.scheduler.recordEnd(
        ...([askId, engineId, 'served', PREFILL_MS, this.nowMs] as const),
      );
    });
  }
}

/** Requests of the burst whose callers have waited to the end. */
export function listBurst({asked}: ShareSimulation): ScenarioRequest[] {
  return asked.filter(
    ({request: {arrivedAtMs}}) =>
      arrivedAtMs >= BURST_MS && arrivedAtMs < SCENARIO_END_MS - PATIENCE_MS,
  );
}

export function findInTimeFraction(asked: readonly ScenarioRequest[]): number {
  const inTime = asked.filter(
    ({request, end, decidedAtMs}) =>
      (end === 'running' || end === 'served') &&
      decidedAtMs + PREFILL_MS <= request.dueAtMs,
  );
  return inTime.length / Math.max(1, asked.length);
}

/** How long refused requests had waited, in ascending order. */
export function listRefusalWaitsMs(asked: readonly ScenarioRequest[]) {
  return asked
    .filter(({end}) => end === 'refused')
    .map(({decidedAtMs, request}) => decidedAtMs - request.arrivedAtMs)
    .sort((a, b) => a - b);
}
