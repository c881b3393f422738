/**
 * Measures the latency of a routing decision with 670 backend servers and 260
 * models and prints its percentiles. Each decision is timed separately.
 */
import {SystemClock} from '@mimosatack/clock';
import {SeededRandom} from '@mimosatack/random';
import {build} from 'hdr-histogram-js';
import {type RouteRequest} from './route_types.js';
import {Router} from './router.js';

const SERVERS = 670;
const MODELS = 260;
const DOMAINS = 8;
const CONCURRENCY = 16;
const NODES = 370;
const DECISIONS = 200_000;
const WARM_UP = 20_000;
/** Replicas per model, from a typical model to one under a large event. */
const REPLICA_COUNTS = [8, 64, 256];
const PREFIX_BLOCKS = 32;
const LEAVING_SERVERS = 18;
const NANOS_PER_MICRO = 1_000n;

const random = new SeededRandom(1);

function makeRouter(): Router {
  const router = new Router({
    clock: new SystemClock(),
    random,
    ownDomain: 'domain-0',
    findDomain: id => `domain-${Number(id.slice(1)) % DOMAINS}`,
    countNodes: () => NODES,
  });
  makeServerIds(SERVERS).forEach(id =>
    router.noteReport(id, {
      runningRequests: random.nextInt(0, CONCURRENCY),
      queuedRequests: 0,
      maxRunningRequests: CONCURRENCY,
      tokensPerSecond: 0,
      ageMs: 500,
    }),
  );
  router.setDraining(makeServerIds(SERVERS).slice(0, LEAVING_SERVERS));
  return router;
}

function makeServerIds(count: number): string[] {
  return Array.from({length: count}, (_, index) => `r${index}`);
}

/** One request per model, with half of its prompt cached on one server. */
function makeRequests(router: Router, replicas: number): RouteRequest[] {
  return Array.from({length: MODELS}, (_, index) => {
    const model = `model-${index}`;
    const hashes = Array.from({length: PREFIX_BLOCKS}, (_2, block) =>
      `${index}-${block}`.padStart(16, '0'),
    );
    const start = random.nextInt(0, SERVERS - replicas);
    const candidates = makeServerIds(SERVERS).slice(start, start + replicas);
    const events = hashes.slice(0, PREFIX_BLOCKS / 2).map(prefixHash => {
      return {op: 'stored' as const, model, prefixHash};
    });
    router.noteCacheEvents(candidates[0] ?? '', events);
    const prefix = {model, hashes};
    return {candidates, excluded: new Set(), prefix, requiresCapacity: true};
  });
}

function measure(replicas: number) {
  const router = makeRouter();
  const requests = makeRequests(router, replicas);
  const histogram = build({numberOfSignificantValueDigits: 3});
  Array.from({length: DECISIONS + WARM_UP}).forEach((_, index) => {
    const request = requests[index % MODELS] as RouteRequest;
    const startedAtNs = process.hrtime.bigint();
    const decision = router.route(request);
    if (decision.status === 'chosen') {
      router.noteSent(decision.id);
      router.noteDone(decision.id);
    }
    const durationNs = process.hrtime.bigint() - startedAtNs;
    if (index >= WARM_UP) histogram.recordValue(Number(durationNs));
  });
  return {
    replicas,
    p50Micros: histogram.getValueAtPercentile(50) / Number(NANOS_PER_MICRO),
    p99Micros: histogram.getValueAtPercentile(99) / Number(NANOS_PER_MICRO),
  };
}

console.table(REPLICA_COUNTS.map(measure));
