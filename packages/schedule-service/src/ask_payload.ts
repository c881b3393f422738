/** Converts requests to and from the `ask` message of the scheduling node. */
import {type ScheduledRequest} from '@mimosatack/schedule-models';
import {type PlaceRequest} from '@mimosatack/schedule-places';
import {
  type GenerationParameters,
  type ServerAsk,
  findWaitDeadlineMs,
} from '@mimosatack/serve-requests';
import {ANONYMOUS_TEAM} from '@mimosatack/share-capacity';
import {type AskPayload, type ModelAsk} from './messages.js';
import {END_MESSAGE_GRACE_MS, findIncarnation} from './tracked_asks.js';

/** Share of the output limit that is assumed when a request has no estimate. */
const DEFAULT_OUTPUT_FRACTION = 0.5;
const NO_MODEL = {
  ...{model: null, adapter: null, promptTokens: 0, outputTokens: 0},
};
const MIN_CALLER_TIMEOUT_MS = 2_000;
const TIMEOUT_PER_TARGET_LATENCY = 4;
const TIMEOUT_PER_TARGET_GAP = 8;

/** Null for a request to engines that names no model. */
export function toAskPayload(
  askId: string,
  ask: ServerAsk,
  nowMs: number,
): AskPayload | null {
  const {request, route, service, excluded, allowed, hasBegun} = ask;
  const {charge, priority} = ask;
  const {generation} = request;
  if (service.engine && !generation) return null;
  return {
    askId,
    requestId: request.requestId,
    service: service.name,
    ...(service.engine && generation ? describeWork(generation) : NO_MODEL),
    priority,
    // Once the answer has begun, the caller waits for its next event only.
    waitedMs: hasBegun ? 0 : nowMs - request.receivedAtMs,
    dueInMs: hasBegun
      ? (route.targetGapMs ?? 0)
      : request.receivedAtMs + route.targetLatencyMs - nowMs,
    gapMs: route.targetGapMs,
    endsInMs: findCallerTimeoutAtMs(ask, nowMs) - nowMs,
    excluded: [...excluded],
    allowed: allowed && [...allowed],
    softwareVersion: ask.softwareVersion,
    ...{charge, team: ask.team, runEndsInMs: ask.endsAtMs - nowMs},
  };
}

function describeWork({
  model,
  adapter,
  promptTokens,
  maxOutputTokens,
  expectedOutputTokens,
}: GenerationParameters) {
  const outputTokens = Math.round(
    expectedOutputTokens ?? maxOutputTokens * DEFAULT_OUTPUT_FRACTION,
  );
  return {model, adapter, promptTokens, outputTokens};
}

/**
 * When the caller is expected to abandon a stream that sends no events. The
 * timeout is the longest of two seconds, four times the target latency and
 * eight times the target gap between events.
 */
function findCallerTimeoutAtMs(ask: ServerAsk, nowMs: number): number {
  const {request, route, endsAtMs, hasBegun} = ask;
  if (route.kind !== 'streaming') return endsAtMs;
  const callerTimeoutMs = Math.max(
    MIN_CALLER_TIMEOUT_MS,
    TIMEOUT_PER_TARGET_LATENCY * route.targetLatencyMs,
    TIMEOUT_PER_TARGET_GAP * (route.targetGapMs ?? 0),
  );
  // Once the answer has begun, the timeout counts from the last event: now.
  const silentSinceMs = hasBegun ? nowMs : request.receivedAtMs;
  return Math.min(endsAtMs, silentSinceMs + callerTimeoutMs);
}

export function toScheduledRequest(
  payload: ModelAsk,
  nodeId: string,
  nowMs: number,
): ScheduledRequest {
  const {service, model, adapter, promptTokens, outputTokens, priority} =
    payload;
  const {askId, waitedMs, dueInMs, gapMs, endsInMs} = payload;
  const {excluded, allowed, softwareVersion, team} = payload;
  return {
    ...{askId, service, model, adapter},
    ...{promptTokens, outputTokens, priority},
    arrivedAtMs: nowMs - waitedMs,
    dueAtMs: nowMs + dueInMs,
    gapMs,
    endsAtMs: nowMs + endsInMs,
    excluded: new Set(excluded),
    allowed: allowed && new Set(allowed),
    ...{softwareVersion, team, nodeId},
  };
}

/** For an ask of a place at a plain server. */
export function toPlaceRequest(
  payload: AskPayload,
  nodeAddress: string,
  nowMs: number,
): PlaceRequest {
  const {askId, service, team, priority, excluded, allowed} = payload;
  const receivedAtMs = nowMs - payload.waitedMs;
  const {endsInMs, runEndsInMs} = payload;
  // A stream that sends events runs longer than its caller waits for one event.
  const endsAtMs = nowMs + (runEndsInMs ?? endsInMs) + END_MESSAGE_GRACE_MS;
  return {
    ...{id: askId, service, team: team ?? ANONYMOUS_TEAM, priority, cost: 1},
    ...{dueAtMs: nowMs + payload.dueInMs, nodeAddress, endsAtMs},
    incarnation: findIncarnation(askId),
    waitDeadlineAtMs: findWaitDeadlineMs({receivedAtMs}, nowMs + endsInMs),
    excluded: new Set(excluded),
    allowed: allowed && new Set(allowed),
  };
}
