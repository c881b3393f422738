/**
 * Measures the time of planning on one node at the target size: 260 models,
 * 6,800 adapters, 670 runners and 300 events.
 */
import {type EngineState} from '@mimosatack/types';
import {LoadTimeEstimates} from './load_time_estimates.js';
import {planEvent} from './plan_event.js';
import {fingerprintEvent} from './planning_schedule.js';
import {SampleWindow} from './sample_window.js';
import {
  type EventSpec,
  FixtureLog,
  makeEngine,
  makeServers,
  minutes,
} from './test_fixtures.js';

const MODELS = 260;
const ADAPTERS_PER_MODEL = 26;
const RUNNERS = 670;
const FAILURE_DOMAINS = 8;
const EVENTS = 300;
const NEEDS_PER_EVENT = 8;
const REPLICAS_PER_NEED = 2;
const RUNNER_MIB = 800;
const CACHED_PER_RUNNER = 20;
const EVENT_SPACING_MS = minutes(10);

/** Measured duration of one kind of work. */
interface Cost {
  work: string;
  runs: number;
  medianMs: string;
  p99Ms: string;
}

/**
 * Measures the function that `prepare` returns, and not `prepare` itself or
 * the clean-up function that the measured one may return.
 */
function measure(
  work: string,
  runs: number,
  prepare: (index: number) => () => (() => void) | void,
): Cost {
  const times = new SampleWindow(runs);
  for (let index = 0; index < runs; index += 1) {
    const run = prepare(index);
    const startedMs = performance.now();
    const cleanUp = run();
    times.add(performance.now() - startedMs, index);
    cleanUp?.();
  }
  const format = (fraction: number) =>
    (times.quantile(fraction) ?? 0).toFixed(3);
  return {work, runs, medianMs: format(0.5), p99Ms: format(0.99)};
}

function buildLog(): FixtureLog {
  const servers = makeServers(RUNNERS, FAILURE_DOMAINS, {
    memoryMib: RUNNER_MIB,
  });
  const log = new FixtureLog(servers, []);
  const adapters = Object.fromEntries(
    Array.from({length: ADAPTERS_PER_MODEL}, (_unused, index) => [
      `a${index}`,
      {memoryMib: 2},
    ]),
  );
  Array.from({length: MODELS}, (_unused, index) =>
    log.putModel(`m${index}`, {adapters}),
  );
  return log;
}

function makeEvent(index: number): EventSpec {
  return {
    startsAtMs: minutes(60) + index * EVENT_SPACING_MS,
    durationMinutes: 120,
    needs: Array.from({length: NEEDS_PER_EVENT}, (_unused, need) => ({
      model: `m${(index * NEEDS_PER_EVENT + need) % MODELS}`,
      adapters: [`a${index % ADAPTERS_PER_MODEL}`],
      replicas: REPLICAS_PER_NEED,
    })),
  };
}

function makeReports(): EngineState[] {
  return Array.from({length: RUNNERS}, (_unused, runner) =>
    makeEngine(`r${runner + 1}`, {
      cached: Array.from({length: CACHED_PER_RUNNER}, (_none, index) => ({
        model: `m${(runner + index) % MODELS}`,
        adapter: null,
        version: 'v1',
        tier: 'disk',
      })),
    }),
  );
}

const log = buildLog();
const engines = makeReports();
const eventIds = Array.from({length: EVENTS}, (_unused, index) => `e${index}`);
eventIds.forEach((id, index) => log.putEvent(id, makeEvent(index)));
const loadTimes = new LoadTimeEstimates();
const views = log.listViews({engines});

const preparePlan = (index: number) => {
  const id = eventIds[index] ?? '';
  const input = {...log.makeInput(id, 0), servers: views, loadTimes};
  return () => {
    const plan = planEvent(input);
    return () => void log.apply(id, plan);
  };
};

const costs = [
  measure('view of all servers', 20, () => () => {
    log.listViews({engines});
  }),
  measure('plan of a new event', EVENTS, preparePlan),
  measure('plan of a settled event', EVENTS, preparePlan),
  measure('look for changes in all events', 20, () => () => {
    log.state.configuration.listEvents().forEach(event =>
      fingerprintEvent({
        event,
        held: log.listHeld(event.eventId),
        requestedModels: new Set(),
        nowMs: 0,
        formatServerStatus: () => '',
      }),
    );
  }),
  measure('reports of all engines taken in', 20, index => () => {
    engines.forEach(engine => loadTimes.observe(engine, index));
  }),
];
console.table(costs);
