/** Simulates one scenario on one deployment and measures it. */
import {SeededRandom} from '@mimosatack/random';
import {isInServingWindow} from '@mimosatack/agreed-state';
import {type ReplicaObservation} from '@mimosatack/stand-ins';
import {readBaseSlotId} from '@mimosatack/steward-orders';
import {ACCELERATORS, type MeasuredEvent, RUNNER_MIB} from './deployment.js';
import {type RunSpec, VirtualCluster} from './virtual_cluster.js';

export interface RunResult {
  /** Wait of the first request for each model and adapter of each event. */
  coldStartMs: number[];
  /** Accelerator time held before the events start, loading included. */
  heldBeforeMs: number;
  /** Part of that time in which the replica was warm. */
  restBeforeMs: number;
  /** Accelerator time of loading or idle replicas over the whole run. */
  idleMs: number;
  overcommits: number;
  cutOffRequests: number;
}

/** The first requests arrive within this time after the event's start. */
const BURST_MS = 200;
/** Upper limit of a measured wait. */
const MAX_WAIT_MS = 120_000;
const MIN_POLL_MS = 20;
/** Poll interval of long waits, as a fraction of the time waited. */
const POLL_FRACTION = 0.01;
/** Time to unload all replicas after the last event. */
const DRAIN_MS = 10_000;
const REQUEST_INTERVAL_MS = 2_000;
const REQUEST_TOKENS = 8;
/** Time until a router reports a cold model to the planner. */
const DEMAND_MS = 20;

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
  const hasUnservedRequest = waits.some(wait => wait.waitedMs === MAX_WAIT_MS);
  if (hasUnservedRequest) cluster.clock.advance(MAX_WAIT_MS - DRAIN_MS);
  return {
    coldStartMs: waits.map(wait => wait.waitedMs),
    heldBeforeMs: sumBefore(cluster, spec.events, each => each.loadingMs),
    restBeforeMs: sumBefore(cluster, spec.events, each => each.warmMs),
    idleMs: sumIdle(cluster),
    overcommits: sumOverRunners(cluster, engine => engine.overcommits.length),
    cutOffRequests: sumOverRunners(
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

/** Polls until a replica serves the first request, then repeats the request. */
function scheduleFirstRequest(
  cluster: VirtualCluster,
  event: MeasuredEvent,
  requested: RequestedModel,
  jitterMs: number,
): Wait {
  const {clock, planner} = cluster;
  const arrivalMs = event.startsAtMs + jitterMs;
  const wait = {waitedMs: MAX_WAIT_MS};
  const poll = () => {
    const waitedMs = clock.wallMs() - arrivalMs;
    if (sendRequest(cluster, requested)) {
      wait.waitedMs = waitedMs;
      clock.setTimer(REQUEST_INTERVAL_MS, () =>
        sendRepeatedly(cluster, event, requested),
      );
    } else if (waitedMs < MAX_WAIT_MS) {
      clock.setTimer(Math.max(MIN_POLL_MS, waitedMs * POLL_FRACTION), poll);
    }
    if (waitedMs >= DEMAND_MS) planner.requestedModels.add(requested.model);
  };
  clock.setTimer(arrivalMs, poll);
  return wait;
}

function sendRepeatedly(
  cluster: VirtualCluster,
  event: MeasuredEvent,
  requested: RequestedModel,
): void {
  const {clock} = cluster;
  if (clock.wallMs() >= event.startsAtMs + event.durationMs) return;
  sendRequest(cluster, requested);
  clock.setTimer(REQUEST_INTERVAL_MS, () =>
    sendRepeatedly(cluster, event, requested),
  );
}

/** Returns whether a reachable runner has the model warm in a serving slot. */
function sendRequest(
  cluster: VirtualCluster,
  {model, adapter}: RequestedModel,
): boolean {
  const nowMs = cluster.clock.wallMs();
  const serving = cluster.log.state.placement
    .list()
    .filter(slot => slot.model === model && isInServingWindow(slot, nowMs))
    .map(slot => ({slot, runner: cluster.findRunner(slot.backendServerId)}));
  const match = serving.find(({slot, runner}) => {
    if (!runner || runner.lostAtMs <= nowMs) return false;
    const {replicas} = runner.parts.engine.readState();
    return replicas.some(
      replica =>
        readBaseSlotId(replica.slotId) === slot.slotId &&
        replica.adapter === adapter &&
        replica.status === 'warm',
    );
  });
  const runner = match?.runner;
  const name = adapter === null ? model : `${model}:${adapter}`;
  runner?.parts.engine.submit({
    header: {kind: 'text', model: name, requestId: `${name}-${nowMs}`},
    request: {model: name, prompt: 'a list', max_tokens: REQUEST_TOKENS},
    idempotencyKey: null,
    priority: 5,
  });
  return runner !== undefined;
}

/** Sums the accelerator time of replicas from `findFromMs` to the event start. */
function sumBefore(
  cluster: VirtualCluster,
  events: readonly MeasuredEvent[],
  findFromMs: (replica: ReplicaObservation) => number | null,
): number {
  const starts = new Map(events.map(e => [e.eventId, e.startsAtMs]));
  return sumOverRunners(cluster, engine =>
    engine.replicas.reduce((sumMs, replica) => {
      const slotId = readBaseSlotId(replica.slotId);
      const purpose = cluster.planner.decidedSlots.get(slotId)?.purpose;
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
  return sumOverRunners(
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

function sumOverRunners(
  cluster: VirtualCluster,
  count: (engine: Observation) => number,
): number {
  return cluster.runners.reduce(
    (sum, runner) => sum + count(runner.parts.engine.observe()),
    0,
  );
}
