/**
 * Prints the cost per node of alternative ways to share loads at the target
 * cluster size, each from a minimal simulation.
 */
import {type RandomSource, SeededRandom} from '@mimosatack/random';
import {pack} from 'msgpackr';

const NODES = 370;
const BACKEND_SERVERS = 670;
const MODELS = 260;
const REPLICAS = 4;
const REQUESTS_PER_S = 7_700;
const BYTES_PER_LOAD = 3;
const MESSAGE_BYTES = 100;
const ROUND_S = 2;
const POLL_S = 0.5;

/** A full engine state with identifiers of typical length. */
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

/** Sends every full engine state to every node at each poll. */
function measureBroadcast() {
  const stateBytes = pack(makeEngineState(10, 30)).length;
  const perS = ((BACKEND_SERVERS / NODES) * (NODES - 1)) / POLL_S;
  return {
    way: 'broadcast',
    stateBytes,
    bytesPerS: Math.round(perS * stateBytes),
  };
}

/** Each node sends all loads to one random peer every `periodMs`. */
function measureGossip(periodMs: number, random: RandomSource) {
  const stamps = Array.from(
    {length: NODES},
    () => new Float64Array(BACKEND_SERVERS),
  );
  const stepMs = 50;
  const phases = stamps.map(() => random.nextInt(0, periodMs / stepMs - 1));
  const ages: number[] = [];
  const steps = Array.from({length: 60_000 / stepMs}, (_, step) => step);
  steps.forEach(step => {
    const nowMs = step * stepMs;
    stamps.forEach((own, node) => {
      if ((step + phases[node]!) % (periodMs / stepMs) !== 0) return;
      own.forEach((_, server) => {
        if (server % NODES === node) own[server] = nowMs;
      });
      const peer = stamps[random.nextInt(0, NODES - 1)]!;
      own.forEach((stamp, server) => {
        peer[server] = Math.max(peer[server]!, stamp);
      });
    });
    if (nowMs >= 40_000 && nowMs % 5_000 === 0) {
      stamps.forEach(own => own.forEach(stamp => ages.push(nowMs - stamp)));
    }
  });
  ages.sort((a, b) => a - b);
  const bytes = BACKEND_SERVERS * BYTES_PER_LOAD + MESSAGE_BYTES;
  return {
    way: `gossip of the full picture every ${periodMs} ms`,
    bytesPerS: Math.round((bytes * 1_000) / periodMs),
    ageP50Ms: ages[Math.floor(ages.length * 0.5)],
    ageP99Ms: ages[Math.floor(ages.length * 0.99)],
  };
}

/**
 * Each router subscribes to the backend servers that it recently sent requests
 * to. The popularity of models follows Zipf's law.
 */
function measureInterest(seconds: number, random: RandomSource) {
  const weights = Array.from({length: MODELS}, (_, rank) => 1 / (rank + 1));
  const total = weights.reduce((sum, weight) => sum + weight, 0);
  const serversByModel = weights.map(() =>
    Array.from({length: REPLICAS}, () =>
      random.nextInt(0, BACKEND_SERVERS - 1),
    ),
  );
  const pickModel = () => {
    let remaining = random.nextFraction() * total;
    return Math.max(
      0,
      weights.findIndex(weight => (remaining -= weight) < 0),
    );
  };
  const count = Math.round((REQUESTS_PER_S / NODES) * seconds);
  const models = Array.from({length: count}, pickModel);
  const runners = new Set(models.flatMap(model => serversByModel[model]!));
  const stewards = new Set([...runners].map(server => server % NODES));
  const bytes = stewards.size * MESSAGE_BYTES + runners.size * BYTES_PER_LOAD;
  return {
    way: `interest of the last ${seconds} s, told every ${ROUND_S} s`,
    runners: runners.size,
    connections: stewards.size,
    bytesPerS: Math.round(bytes / ROUND_S),
  };
}

/** Sends a load in a round only if it differs enough from the last one sent. */
function measureDifferences(threshold: number, random: RandomSource) {
  const capacity = 200;
  const serviceS = 12;
  const rounds = 30;
  const loads = Array.from({length: BACKEND_SERVERS}, () => 0.85 * capacity);
  const sent = [...loads];
  let sentCount = 0;
  Array.from({length: rounds * ROUND_S * 10}, (_, step) => step).forEach(
    step => {
      loads.forEach((load, server) => {
        const arriving = (0.85 * capacity) / serviceS / 10;
        const leaving = load / serviceS / 10;
        const change = (mean: number) =>
          Math.floor(mean) + (random.nextFraction() < mean % 1 ? 1 : 0);
        const noise = random.nextInt(-2, 2);
        loads[server] = Math.max(
          0,
          load + change(arriving) - change(leaving) + noise,
        );
        const isRound = step % (ROUND_S * 10) === 0;
        const difference = Math.abs(loads[server] - sent[server]!);
        if (!isRound || difference < Math.max(1, threshold * capacity)) {
          return;
        }
        sent[server] = loads[server];
        sentCount++;
      });
    },
  );
  return {
    way: `differences above ${threshold * 100} % of the places`,
    toldPercent: Math.round((100 * sentCount) / rounds / BACKEND_SERVERS),
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
    secondsBetweenAnswers: Math.round(
      (BACKEND_SERVERS * NODES) / REQUESTS_PER_S,
    ),
  },
].forEach(result => console.log(JSON.stringify(result)));
