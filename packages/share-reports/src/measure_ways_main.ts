/**
 * Prints what the ways of sharing loads that were not chosen would cost a
 * node at the target size, each in the least simulation that shows it.
 */
import {type RandomSource, SeededRandom} from '@mimosatack/random';
import {pack} from 'msgpackr';

const NODES = 370;
const RUNNERS = 670;
const MODELS = 260;
const REPLICAS = 4;
const REQUESTS_PER_S = 7_700;
const BYTES_PER_LOAD = 3;
const MESSAGE_BYTES = 100;
const ROUND_S = 2;
const POLL_S = 0.5;

/** A state such as an engine reports, with names of usual length. */
function makeEngineState(replicaCount: number, cachedCount: number) {
  const model = (index: number) => ({
    model: `model-name-${index}`,
    adapter: index % 2 === 0 ? null : `team-adapter-${index}`,
    version: '2026-01-01',
  });
  return {
    backendServerId: 'runner-gdansk-a-0123',
    incarnation: '0f8fad5b-d9cb-469f-a165-70867728950e',
    fencing: 'refuses-old',
    highestFencingNumber: 123_456_789_012,
    accelerators: 8,
    memoryMib: 655_360,
    replicas: Array.from({length: replicaCount}, (_, index) => ({
      ...model(index),
      slotId: `s-7c9e6679-7425-40de-944b-e07fc1f90a${index}`,
      memoryMib: 40_000,
      status: 'warm',
      loadMs: 20_000,
      activeRequests: 7,
    })),
    cached: Array.from({length: cachedCount}, (_, index) => ({
      ...model(index),
      tier: 'disk',
    })),
    load: {
      runningRequests: 20,
      queuedRequests: 3,
      maxRunningRequests: 64,
      tokensPerSecond: 900,
      ageMs: 100,
    },
  };
}

/** Every whole state to every node at each poll, as it was at first. */
function measureBroadcast() {
  const stateBytes = pack(makeEngineState(10, 30)).length;
  const perS = ((RUNNERS / NODES) * (NODES - 1)) / POLL_S;
  return {
    way: 'broadcast',
    stateBytes,
    bytesPerS: Math.round(perS * stateBytes),
  };
}

/** Each node sends its whole picture to one random peer every `periodMs`. */
function measureGossip(periodMs: number, random: RandomSource) {
  const stamps = Array.from({length: NODES}, () => new Float64Array(RUNNERS));
  const stepMs = 50;
  const phases = stamps.map(() => random.nextInt(0, periodMs / stepMs - 1));
  const ages: number[] = [];
  const steps = Array.from({length: 60_000 / stepMs}, (_, step) => step);
  steps.forEach(step => {
    const nowMs = step * stepMs;
    stamps.forEach((own, node) => {
      if ((step + phases[node]!) % (periodMs / stepMs) !== 0) return;
      own.forEach((_, runner) => {
        if (runner % NODES === node) own[runner] = nowMs;
      });
      const peer = stamps[random.nextInt(0, NODES - 1)]!;
      own.forEach((stamp, runner) => {
        peer[runner] = Math.max(peer[runner]!, stamp);
      });
    });
    if (nowMs >= 40_000 && nowMs % 5_000 === 0) {
      stamps.forEach(own => own.forEach(stamp => ages.push(nowMs - stamp)));
    }
  });
  ages.sort((a, b) => a - b);
  const bytes = RUNNERS * BYTES_PER_LOAD + MESSAGE_BYTES;
  return {
    way: `gossip of the full picture every ${periodMs} ms`,
    bytesPerS: Math.round((bytes * 1_000) / periodMs),
    ageP50Ms: ages[Math.floor(ages.length * 0.5)],
    ageP99Ms: ages[Math.floor(ages.length * 0.99)],
  };
}

/** Which runners a router had requests for, with models by Zipf's law. */
function measureInterest(seconds: number, random: RandomSource) {
  const weights = Array.from({length: MODELS}, (_, rank) => 1 / (rank + 1));
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  const runnersOf = weights.map(() =>
    Array.from({length: REPLICAS}, () => random.nextInt(0, RUNNERS - 1)),
  );
  const pickModel = () => {
    let left = random.nextFraction() * total;
    return Math.max(
      0,
      weights.findIndex(weight => (left -= weight) < 0),
    );
  };
  const count = Math.round((REQUESTS_PER_S / NODES) * seconds);
  const models = Array.from({length: count}, pickModel);
  const runners = new Set(models.flatMap(model => runnersOf[model]!));
  const stewards = new Set([...runners].map(runner => runner % NODES));
  const bytes = stewards.size * MESSAGE_BYTES + runners.size * BYTES_PER_LOAD;
  return {
    way: `interest of the last ${seconds} s, told every ${ROUND_S} s`,
    runners: runners.size,
    connections: stewards.size,
    bytesPerS: Math.round(bytes / ROUND_S),
  };
}

/** How many loads differ from what was told last, at each round. */
function measureDifferences(thresholdShare: number, random: RandomSource) {
  const places = 200;
  const serviceS = 12;
  const rounds = 30;
  const loads = Array.from({length: RUNNERS}, () => 0.85 * places);
  const told = [...loads];
  let toldCount = 0;
  Array.from({length: rounds * ROUND_S * 10}, (_, step) => step).forEach(
    step => {
      loads.forEach((load, runner) => {
        const arriving = (0.85 * places) / serviceS / 10;
        const leaving = load / serviceS / 10;
        const change = (mean: number) =>
          Math.floor(mean) + (random.nextFraction() < mean % 1 ? 1 : 0);
        const noise = random.nextInt(-2, 2);
        loads[runner] = Math.max(
          0,
          load + change(arriving) - change(leaving) + noise,
        );
        const isRound = step % (ROUND_S * 10) === 0;
        const difference = Math.abs(loads[runner] - told[runner]!);
        if (!isRound || difference < Math.max(1, thresholdShare * places)) {
          return;
        }
        told[runner] = loads[runner];
        toldCount++;
      });
    },
  );
  return {
    way: `differences above ${thresholdShare * 100} % of the places`,
    toldPercent: Math.round((100 * toldCount) / rounds / RUNNERS),
  };
}

const random = new SeededRandom(3);
[
  measureBroadcast(),
  measureGossip(1_500, random),
  measureGossip(3_000, random),
  measureInterest(10, random),
  measureInterest(60, random),
  measureDifferences(0, random),
  measureDifferences(0.05, random),
  measureDifferences(0.1, random),
  {
    way: 'load on each answer',
    secondsBetweenAnswers: Math.round((RUNNERS * NODES) / REQUESTS_PER_S),
  },
].forEach(result => console.log(JSON.stringify(result)));
