/** Runs nodes with one steward task each, on a shared log and engine. */
import {SystemClock} from '@mimosatack/clock';
import {LogFollower} from '@mimosatack/follow-log';
import {MemoryEventLogger} from '@mimosatack/logger';
import {HttpEngineControl, HttpLogService} from '@mimosatack/platform';
import {SeededRandom} from '@mimosatack/random';
import {type RecordBody, type SlotPlan} from '@mimosatack/records';
import {
  type EngineOptions,
  startEngineStandIn,
  startPlatformStandIn,
} from '@mimosatack/stand-ins';
import {type DeathEvidence, StewardTask} from './steward_task.js';

const LONG_MS = 60_000;
const SHORT_MS = 200;
const POLL_MS = 5;
const MAX_POLLS = 4_000;
export const HOUR_MS = 3_600_000;
/**
 * How long an engine that ignores fencing may take to carry out a late order.
 */
export const ORDER_DOUBT_MS = 300;

/** The system clock, with wall time that a test can advance. */
class ShiftableClock extends SystemClock {
  aheadMs = 0;

  override wallMs(): number {
    return super.wallMs() + this.aheadMs;
  }
}

/** A node that consists of a follower and a steward task. */
export class StewardNode {
  readonly incarnation: string;
  readonly follower: LogFollower;
  readonly task: StewardTask;
  readonly logger = new MemoryEventLogger();
  readonly clock = new ShiftableClock();
  /** Processes that this node believes dead. */
  readonly gone = new Set<string>();
  evidence: DeathEvidence | null = null;
  isEveryoneKnown = true;
  ranking: string[];
  private readonly log: HttpLogService;

  constructor(
    readonly nodeName: string,
    logUrl: string,
    private readonly controlTimeoutMs = SHORT_MS,
  ) {
    this.incarnation = `${nodeName}.aaaaaaaa`;
    this.ranking = [this.incarnation];
    this.log = new HttpLogService({
      baseUrl: logUrl,
      nodeId: nodeName,
      timeoutMs: LONG_MS,
    });
    this.follower = new LogFollower({
      clock: new SystemClock(),
      random: new SeededRandom(1),
      logger: this.logger,
      log: this.log,
      stream: 'decisions',
      incarnation: this.incarnation,
      longPollMs: 1_000,
      retryDelayMs: 5,
    });
    this.task = this.makeTask();
  }

  async start(): Promise<void> {
    await this.follower.start({
      states: [],
      appends: {pullAppends: () => Promise.resolve([])},
    });
  }

  async stop(): Promise<void> {
    await this.task.stop();
    await this.follower.stop();
    await this.log.close();
  }

  /** Ticks the task until the condition holds. */
  async tickUntil(condition: () => boolean): Promise<void> {
    await waitUntil(condition, () => this.task.post({type: 'tick'}));
  }

  /** Ticks the task a given number of times. */
  async tick(times: number): Promise<void> {
    for (let count = 0; count < times; count += 1) {
      this.task.post({type: 'tick'});
      await pause();
    }
  }

  async write(body: RecordBody): Promise<void> {
    const folded = await this.follower.submit(body, {timeoutMs: LONG_MS});
    if (folded.outcome.status === 'void') {
      throw new Error(`${body.type}: ${folded.outcome.message}`);
    }
  }

  private makeTask(): StewardTask {
    return new StewardTask(
      {
        clock: this.clock,
        logger: this.logger,
        follower: this.follower,
        incarnation: this.incarnation,
        connect: (backendServerId, baseUrl) =>
          new HttpEngineControl({
            backendServerId,
            baseUrl,
            nodeId: this.nodeName,
            timeoutMs: this.controlTimeoutMs,
          }),
        findOwnRank: () => this.ranking.indexOf(this.incarnation),
        listSuccessors: () => this.ranking,
        isKnown: () => this.isEveryoneKnown,
        isGone: incarnation => this.gone.has(incarnation),
        findDeathEvidence: () => this.evidence,
        publishReport: () => undefined,
        submitTimeoutMs: LONG_MS,
        orderDoubtMs: ORDER_DOUBT_MS,
        drain: {clockSkewMs: 0, foldLagMs: 0, maxRequestMs: 1_000},
        findLoadTimes: () => ({
          startsAtMs: null,
          storeLoadMs: 0,
          cachedLoadMs: {memory: 0, disk: 0},
          slowdown: 1,
        }),
      },
      () => undefined,
    );
  }
}

/**
 * Starts a platform, an engine `r1`, and two nodes of which the first ranks
 * first.
 */
export async function startStewardBench(options: Partial<EngineOptions>) {
  const platform = await startPlatformStandIn({});
  const engine = await startEngineStandIn({
    backendServerId: 'r1',
    pool: 'runners',
    platform: platform.baseUrl,
    memoryMib: 1000,
    checksMemory: false,
    ...options,
  });
  const first = new StewardNode('node-1', platform.baseUrl);
  const second = new StewardNode('node-2', platform.baseUrl);
  await first.start();
  await second.start();
  first.ranking = [first.incarnation, second.incarnation];
  second.ranking = first.ranking;
  await writeDocuments(first, engine.baseUrl, options.fencing ?? 'refuses-old');
  return {
    platform,
    engine,
    first,
    second,
    close: async () => {
      engine.core.gate.thaw();
      await Promise.all([first.stop(), second.stop()]);
      await engine.close();
      await platform.close();
    },
  };
}

export type StewardBench = Awaited<ReturnType<typeof startStewardBench>>;

/** Decides a replica of 600 MiB on `r1`, due now, and waits for the record. */
export async function decideSlot(
  node: StewardNode,
  slotId: string,
  event = 'saturday',
  options: Partial<SlotPlan> = {},
): Promise<void> {
  const {configuration, placement} = node.follower.state;
  const purpose = {for: 'event' as const, eventId: event};
  await node.write({
    type: 'decide-slots',
    purpose,
    targetRevision: configuration.findEvent(event)?.revision ?? 0,
    expectedPlan: placement.countPlans(purpose),
    slots: [{...makeSlot(slotId), ...options}],
  });
}

export function makeSlot(slotId: string): SlotPlan {
  const nowMs = Date.now();
  return {
    slotId,
    model: 'lists',
    version: 'v1',
    adapters: [],
    backendServerId: 'r1',
    memoryMib: 600,
    stage: null,
    loadAtMs: nowMs - 1,
    storeMs: 0,
    untilMs: nowMs + HOUR_MS,
    replaces: null,
  };
}

/**
 * Polls until the condition holds, calling `meanwhile` before each poll. Throws
 * after `MAX_POLLS`, so that a failing test does not hang.
 */
export async function waitUntil(
  condition: () => boolean,
  meanwhile: () => void = () => undefined,
): Promise<void> {
  for (let polls = 0; !condition(); polls += 1) {
    if (polls >= MAX_POLLS) throw new Error(`Never held: ${String(condition)}`);
    meanwhile();
    await pause();
  }
}

function pause(): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, POLL_MS));
}

async function writeDocuments(
  node: StewardNode,
  baseUrl: string,
  fencing: 'refuses-old' | 'ignores',
): Promise<void> {
  const put = (
    kind: 'team' | 'model' | 'template' | 'event',
    id: string,
    content: Record<string, unknown>,
  ) =>
    node.write({type: 'put-document', kind, id, expectedVersion: 0, content});
  await put('team', 'pantry', {});
  await put('model', 'lists', {pool: 'runners', version: 'v1', memoryMib: 600});
  await put('template', 'window', {
    team: 'pantry',
    parameters: {start: {type: 'time'}},
    event: {
      startsAt: '${start}',
      durationMinutes: 60,
      needs: [{model: 'lists', replicas: 1}],
    },
  });
  const start = new Date(Date.now()).toISOString();
  const content = {team: 'pantry', template: 'window', parameters: {start}};
  await put('event', 'saturday', content);
  await put('event', 'sunday', content);
  await node.write({
    type: 'register-backend-server',
    backendServerId: 'r1',
    hostId: 'r1',
    baseUrl,
    pool: 'runners',
    failureDomain: 'hall-a',
    region: 'central',
    fencing,
    accelerators: 8,
    memoryMib: 1000,
  });
}
