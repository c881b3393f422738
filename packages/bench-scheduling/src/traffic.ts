/** Generates request arrivals from rates and kinds of requests. */
import {type RandomSource} from '@mimosatack/random';
import {type ScheduledRequest} from '@mimosatack/schedule-models';
import {type DeploymentSpec, SERVICE_NAME, nameModel} from './deployment.js';

/** Sizes and time limits of one kind of request. */
export interface KindSpec {
  /** 0 is the most urgent. */
  priority: number;
  /** Limit for the first event of the response. */
  dueMs: number;
  /** The caller disconnects after this time without an event. */
  patienceMs: number;
  /** Limit for the pause between two events. */
  gapMs: number;
  promptTokens: number;
  outputTokens: number;
}

/** Request rates by kind, and how they change over time. */
export interface TrafficSpec {
  durationMs: number;
  kinds: Readonly<Record<KindName, KindSpec>>;
  /** Interactive requests for a few popular models. */
  chatsPerSecond: number;
  /** Long drafts, spread evenly over all other models. */
  draftsPerSecond: number;
  /** Short tagging requests, half of them for an adapter. */
  tagsPerSecond: number;
  /** Factor on the rate of drafts in the middle third of the duration. */
  draftBurst: number;
  /** Number of models that receive chats and tags at a time. */
  hotModels: number;
  /** Interval after which chats and tags move to the next model in the list. */
  shiftEveryMs: number;
}

export type KindName = 'chat' | 'draft' | 'tag';

/** A request with its kind and arrival time. */
export interface Arrival {
  kind: KindName;
  atMs: number;
  request: ScheduledRequest;
}

const MS_PER_SECOND = 1_000;
const HOT_MODEL_COUNT = 10;
/** Kinds of the deployments `pantry` and `sky`. */
export const LONG_ANSWERS: TrafficSpec['kinds'] = {
  chat: {
    ...{priority: 1, dueMs: 600, patienceMs: 2_400, gapMs: 300},
    ...{promptTokens: 826, outputTokens: 294},
  },
  draft: {
    ...{priority: 0, dueMs: 2_000, patienceMs: 8_000, gapMs: 300},
    ...{promptTokens: 826, outputTokens: 294},
  },
  tag: {
    ...{priority: 2, dueMs: 800, patienceMs: 3_000, gapMs: 300},
    ...{promptTokens: 2_368, outputTokens: 24},
  },
};

/** Kinds of the deployment `crew`. */
export const SHORT_ANSWERS: TrafficSpec['kinds'] = {
  chat: {
    ...{priority: 0, dueMs: 500, patienceMs: 4_800, gapMs: 600},
    ...{promptTokens: 646, outputTokens: 70},
  },
  draft: {
    ...{priority: 0, dueMs: 3_000, patienceMs: 12_000, gapMs: 600},
    ...{promptTokens: 646, outputTokens: 70},
  },
  tag: {
    ...{priority: 2, dueMs: 800, patienceMs: 4_800, gapMs: 600},
    ...{promptTokens: 9_190, outputTokens: 52},
  },
};

/** Generates all arrivals, sorted by time. */
export function generateTraffic(
  spec: TrafficSpec,
  deployment: DeploymentSpec,
  random: RandomSource,
): Arrival[] {
  const requestCounter = {next: 0};
  const makeArrival = (
    atMs: number,
    kindName: KindName,
    model: number,
    adapter: string | null = null,
  ): Arrival => {
    const kind = spec.kinds[kindName];
    return {
      kind: kindName,
      atMs,
      request: {
        askId: `r${(requestCounter.next += 1)}`,
        service: SERVICE_NAME,
        model: nameModel(model),
        adapter,
        promptTokens: kind.promptTokens,
        outputTokens: Math.round(
          kind.outputTokens * (0.4 + 1.2 * random.nextFraction()),
        ),
        priority: kind.priority,
        arrivedAtMs: atMs,
        dueAtMs: atMs + kind.dueMs,
        gapMs: kind.gapMs,
        endsAtMs: atMs + kind.patienceMs,
        excluded: new Set(),
        softwareVersion: null,
        team: null,
        allowed: null,
        nodeId: 'n1',
      },
    };
  };
  const pickHotModel = (atMs: number) => {
    const shift = Math.floor(atMs / spec.shiftEveryMs);
    const skewed = Math.floor(spec.hotModels * random.nextFraction() ** 1.5);
    return (shift + skewed) % HOT_MODEL_COUNT;
  };
  const chats = listTimes(spec.chatsPerSecond, spec.durationMs, random).map(
    atMs => makeArrival(atMs, 'chat', pickHotModel(atMs)),
  );
  const drafts = listDraftTimes(spec, random).map(atMs =>
    makeArrival(
      atMs,
      'draft',
      random.nextInt(HOT_MODEL_COUNT, deployment.modelCount - 1),
    ),
  );
  const tags = listTimes(spec.tagsPerSecond, spec.durationMs, random).map(
    atMs => {
      const isPlain = random.nextFraction() < 0.5;
      const number = random.nextInt(1, deployment.adaptersPerHotModel);
      return makeArrival(
        atMs,
        'tag',
        pickHotModel(atMs),
        isPlain ? null : `a${number}`,
      );
    },
  );
  return [...chats, ...drafts, ...tags].sort((a, b) => a.atMs - b.atMs);
}

function listDraftTimes(spec: TrafficSpec, random: RandomSource): number[] {
  const third = spec.durationMs / 3;
  const baseline = listTimes(spec.draftsPerSecond, spec.durationMs, random);
  const burst = listTimes(
    spec.draftsPerSecond * (spec.draftBurst - 1),
    third,
    random,
  ).map(atMs => atMs + third);
  return [...baseline, ...burst];
}

/** Arrival times of a Poisson process. */
function listTimes(
  perSecond: number,
  durationMs: number,
  random: RandomSource,
): number[] {
  const times: number[] = [];
  let atMs = 0;
  while (perSecond > 0) {
    atMs -= (Math.log(1 - random.nextFraction()) * MS_PER_SECOND) / perSecond;
    if (atMs >= durationMs) break;
    times.push(atMs);
  }
  return times;
}
