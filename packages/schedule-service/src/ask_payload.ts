/** Converts requests to and from the `ask` message of the scheduling node. */
import {type ScheduledRequest} from '@mimosatack/schedule-models';
import {type ServerAsk} from '@mimosatack/serve-requests';
import {type AskPayload} from './messages.js';

/** Share of the output limit that is assumed when a request has no estimate. */
const DEFAULT_OUTPUT_FRACTION = 0.5;
const MIN_CALLER_TIMEOUT_MS = 2_000;
const TIMEOUT_PER_TARGET_LATENCY = 4;
const TIMEOUT_PER_TARGET_GAP = 8;

/** Null for a request that needs no model. */
export function toAskPayload(
  askId: string,
  ask: ServerAsk,
  nowMs: number,
): AskPayload | null {
  const {request, route, service, excluded, allowed, hasBegun} = ask;
  const {charge, priority} = ask;
  const {generation} = request;
  if (!generation) return null;
  const {maxOutputTokens, expectedOutputTokens} = generation;
  return {
    askId,
    requestId: request.requestId,
    service: service.name,
    model: generation.model,
    adapter: generation.adapter,
    promptTokens: generation.promptTokens,
    outputTokens: Math.round(
      expectedOutputTokens ?? maxOutputTokens * DEFAULT_OUTPUT_FRACTION,
    ),
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
  payload: AskPayload,
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
