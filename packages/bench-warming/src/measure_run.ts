/** Runs one deployment through one scenario and measures it. */
import {SeededRandom} from '@mimosatack/random';
import {isInServingWindow} from '@mimosatack/agreed-state';
import {type ReplicaObservation} from '@mimosatack/stand-ins';
import {readBaseSlotId} from '@mimosatack/steward-orders';
import {ACCELERATORS, type MeasuredEvent, RUNNER_MIB} from './deployment.js';
import {type RunSpec, VirtualCluster} from './virtual_cluster.js';

/** What one run came to. */
export interface RunResult {
  /** Of the first request of each model and adapter at its event's start. */
  coldStartMs: number[];
  /** Accelerator time held before the events' starts, loading included. */
  heldBeforeMs: number;
  /** Of that, with a replica warm and at rest. */
  restBeforeMs: number;
  /** Accelerator time of replicas that loaded or were at rest, ever. */
  idleMs: number;
  overcommits: number;
  cutOffRequests: number;
}

/** The first requests of an event come within this time. */
const BURST_MS = 200;
/** A wait that has not ended by then counts as this long. */
const MAX_WAIT_MS = 120_000;
const LOOK_MS = 20;
/** Long waits are looked at less often, by this part of their length. */
const LOOK_FRACTION = 0.01;
/** From the end of the last event until all is unloaded. */
const DRAIN_MS = 10_000;
const TRAFFIC_MS = 2_000;
const REQUEST_TOKENS = 8;
/** A router tells the planner of a cold model within this time. */
const DEMAND_MS = 20;

/** Runs until all events are over. */
export function measureRun(spec: RunSpec): RunResult {
  const cluster = new VirtualCluster(spec);
  const random = new SeededRandom(spec.seed + 1);
  const waits = spec.events.flatMap(event =>
    event.needs.flatMap(need =>
      [null, ...need.adapters].map(adapter =>
        scheduleFirstRequest(
          cluster,
          event,
          {model: need.model, adapter},
          random.nextInt(0, BURST_MS),
        ),
      ),
    ),
  );
  const endMs = Math.max(
    ...spec.events.map(event => event.startsAtMs + event.durationMs),
  );
  cluster.clock.advance(endMs + DRAIN_MS);
  const isOpen = waits.some(wait => wait.waitedMs === MAX_WAIT_MS);
  if (isOpen) cluster.clock.advance(MAX_WAIT_MS - DRAIN_MS);
  return {
    coldStartMs: waits.map(wait => wait.waitedMs),
    heldBeforeMs: sumBefore(cluster, spec.events, each => each.loadingMs),
    restBeforeMs: sumBefore(cluster, spec.events, each => each.warmMs),
    idleMs: sumIdle(cluster),
    overcommits: sumOver(cluster, engine => engine.overcommits.length),
    cutOffRequests: sumOver(
      cluster,
      engine =>
        engine.requests.filter(each => each.outcome === 'cut-off').length,
    ),
  };
}

interface RequestedModel {
  model: string;
  adapter: string | null;
}

interface Wait {
  waitedMs: number;
}

/** The first request waits until a replica serves; then others follow. */
function scheduleFirstRequest(
  cluster: VirtualCluster,
  event: MeasuredEvent,
  requested: RequestedModel,
  jitterMs: number,
): Wait {
  const {clock, planner} = cluster;
  const arrivalMs = event.startsAtMs + jitterMs;
  const wait = {waitedMs: MAX_WAIT_MS};
  const look = () => {
    const waitedMs = clock.wallMs() - arrivalMs;
    if (sendRequest(cluster, requested)) {
      wait.waitedMs = waitedMs;
      clock.setTimer(TRAFFIC_MS, () => sendOn(cluster, event, requested));
    } else if (waitedMs < MAX_WAIT_MS) {
      clock.setTimer(Math.max(LOOK_MS, waitedMs * LOOK_FRACTION), look);
    }
    if (waitedMs >= DEMAND_MS) planner.demanded.add(requested.model);
  };
  clock.setTimer(arrivalMs, look);
  return wait;
}

function sendOn(
  cluster: VirtualCluster,
  event: MeasuredEvent,
  requested: RequestedModel,
): void {
  const {clock} = cluster;
  if (clock.wallMs() >= event.startsAtMs + event.durationMs) return;
  sendRequest(cluster, requested);
  clock.setTimer(TRAFFIC_MS, () => sendOn(cluster, event, requested));
}

/** Whether a runner that can be reached has it warm in a serving slot. */
function sendRequest(
  cluster: VirtualCluster,
  {model, adapter}: RequestedModel,
): boolean {
  const nowMs = cluster.clock.wallMs();
  const serving = cluster.log.state.placement
    .list()
    .filter(slot => slot.model === model && isInServingWindow(slot, nowMs))
    .map(slot => ({slot, runner: cluster.findRunner(slot.backendServerId)}));
  const found = serving.find(({slot, runner}) => {
    if (!runner || runner.lostAtMs <= nowMs) return false;
    const {replicas} = runner.parts.engine.readState();
    return replicas.some(
      replica =>
        readBaseSlotId(replica.slotId) === slot.slotId &&
        replica.adapter === adapter &&
        replica.status === 'warm',
    );
  });
  const runner = found?.runner;
  const name = adapter === null ? model : `${model}:${adapter}`;
  runner?.parts.engine.submit({
    header: {kind: 'text', model: name, requestId: `${name}-${nowMs}`},
    request: {model: name, prompt: 'a list', max_tokens: REQUEST_TOKENS},
    idempotencyKey: null,
    priority: 5,
  });
  return runner !== undefined;
}

/** Time of each replica from a moment in its life until its event starts. */
function sumBefore(
  cluster: VirtualCluster,
  events: readonly MeasuredEvent[],
  findFromMs: (replica: ReplicaObservation) => number | null,
): number {
  const starts = new Map(events.map(e => [e.eventId, e.startsAtMs]));
  return sumOver(cluster, engine =>
    engine.replicas.reduce((sumMs, replica) => {
      const slotId = readBaseSlotId(replica.slotId);
      const purpose = cluster.planner.decided.get(slotId)?.purpose;
      const fromMs = findFromMs(replica);
      if (purpose?.for !== 'event' || fromMs === null) return sumMs;
      const startMs = starts.get(purpose.eventId) ?? 0;
      const endMs = Math.min(startMs, replica.unloadedMs ?? Infinity);
      const heldMs = Math.max(0, endMs - fromMs);
      return sumMs + toAcceleratorMs(replica.memoryMib, heldMs);
    }, 0),
  );
}

function sumIdle(cluster: VirtualCluster): number {
  return sumOver(
    cluster,
    engine =>
      engine.idleAcceleratorMs +
      engine.replicas.reduce((sumMs, replica) => {
        const doneMs = replica.warmMs ?? replica.unloadedMs;
        const loadingMs = (doneMs ?? replica.loadingMs) - replica.loadingMs;
        return sumMs + toAcceleratorMs(replica.memoryMib, loadingMs);
      }, 0),
  );
}

function toAcceleratorMs(memoryMib: number, durationMs: number): number {
  return (ACCELERATORS * durationMs * memoryMib) / RUNNER_MIB;
}

type Observation = ReturnType<
  VirtualCluster['runners'][number]['parts']['engine']['observe']
>;

function sumOver(
  cluster: VirtualCluster,
  count: (engine: Observation) => number,
): number {
  return cluster.runners.reduce(
    (sum, runner) => sum + count(runner.parts.engine.observe()),
    0,
  );
}
