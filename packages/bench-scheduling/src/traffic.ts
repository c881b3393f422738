/** Requests as the users' sheets describe them. */
import {type RandomSource} from '@mimosatack/random';
import {type ScheduledRequest} from '@mimosatack/schedule-models';
import {type DeploymentSpec, SERVICE_NAME, nameModel} from './deployment.js';

/** How much of which kind comes when. */
export interface TrafficSpec {
  durationMs: number;
  /** Interactive requests, for a few models that are asked for much. */
  chatsPerSecond: number;
  /** Long drafts, for all other models nearly evenly. */
  draftsPerSecond: number;
  /** Short tags, half of them for an adapter. */
  tagsPerSecond: number;
  /** Drafts come this many times as often in the middle third. */
  draftBurst: number;
  /** Models that chats and tags are for at a time. */
  hotModels: number;
  /** After this time they are for the next models in the list. */
  shiftEveryMs: number;
}

/** A request with what it takes to run. */
export interface Arrival {
  atMs: number;
  request: ScheduledRequest;
}

const MS_PER_SECOND = 1_000;
const HOT_LIST = 10;
const CHAT = {priority: 1, dueMs: 600, patienceMs: 2_400, prompt: 826};
const DRAFT = {priority: 0, dueMs: 2_000, patienceMs: 8_000, prompt: 826};
const TAG = {priority: 2, dueMs: 800, patienceMs: 3_000, prompt: 2_368};
const LONG_OUTPUT = 294;
const SHORT_OUTPUT = 24;

type Kind = typeof CHAT;

/** All arrivals of one play, in the order of their times. */
export function makeTraffic(
  spec: TrafficSpec,
  deployment: DeploymentSpec,
  random: RandomSource,
): Arrival[] {
  const numbers = {next: 0};
  const add = (
    atMs: number,
    kind: Kind,
    model: number,
    outputTokens: number,
    adapter: string | null = null,
  ): Arrival => ({
    atMs,
    request: {
      askId: `r${(numbers.next += 1)}`,
      service: SERVICE_NAME,
      model: nameModel(model),
      adapter,
      promptTokens: kind.prompt,
      outputTokens: Math.round(
        outputTokens * (0.4 + 1.2 * random.nextFraction()),
      ),
      priority: kind.priority,
      arrivedAtMs: atMs,
      dueAtMs: atMs + kind.dueMs,
      endsAtMs: atMs + kind.patienceMs,
      excluded: new Set(),
      allowed: null,
      nodeId: 'n1',
    },
  });
  const hotAt = (atMs: number) => {
    const shift = Math.floor(atMs / spec.shiftEveryMs);
    const skewed = Math.floor(spec.hotModels * random.nextFraction() ** 1.5);
    return (shift + skewed) % HOT_LIST;
  };
  const chats = listTimes(spec.chatsPerSecond, spec.durationMs, random).map(
    atMs => add(atMs, CHAT, hotAt(atMs), LONG_OUTPUT),
  );
  const drafts = listDraftTimes(spec, random).map(atMs =>
    add(
      atMs,
      DRAFT,
      random.nextInt(HOT_LIST, deployment.modelCount - 1),
      LONG_OUTPUT,
    ),
  );
  const tags = listTimes(spec.tagsPerSecond, spec.durationMs, random).map(
    atMs => {
      const isPlain = random.nextFraction() < 0.5;
      const number = random.nextInt(1, deployment.adaptersPerHotModel);
      return add(
        atMs,
        TAG,
        hotAt(atMs),
        SHORT_OUTPUT,
        isPlain ? null : `a${number}`,
      );
    },
  );
  return [...chats, ...drafts, ...tags].sort((a, b) => a.atMs - b.atMs);
}

function listDraftTimes(spec: TrafficSpec, random: RandomSource): number[] {
  const third = spec.durationMs / 3;
  const calm = listTimes(spec.draftsPerSecond, spec.durationMs, random);
  const extra = listTimes(
    spec.draftsPerSecond * (spec.draftBurst - 1),
    third,
    random,
  ).map(atMs => atMs + third);
  return [...calm, ...extra];
}

/** Independent arrivals at a rate. */
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
