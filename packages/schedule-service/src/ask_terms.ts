/** Turns requests into what is told of them, and back. */
import {type ScheduledRequest} from '@mimosatack/schedule-models';
import {type ServerAsk} from '@mimosatack/serve-requests';
import {type AskTerms} from './messages.js';

/** The output of a request that gives no estimate, as part of its most. */
const USUAL_OUTPUT_PART = 0.5;
const MIN_PATIENCE_MS = 2_000;
const PATIENCE_TARGETS = 4;
const PATIENCE_GAPS = 8;

/** Null for a request that asks nothing of a model. */
export function toAskTerms(
  askId: string,
  ask: ServerAsk,
  nowMs: number,
): AskTerms | null {
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
      expectedOutputTokens ?? maxOutputTokens * USUAL_OUTPUT_PART,
    ),
    priority,
    // A caller in the middle of a stream waits for its next event.
    waitedMs: hasBegun ? 0 : nowMs - request.receivedAtMs,
    dueInMs: hasBegun
      ? (route.targetGapMs ?? 0)
      : request.receivedAtMs + route.targetLatencyMs - nowMs,
    gapMs: route.targetGapMs,
    endsInMs: findPatienceEndMs(ask, nowMs) - nowMs,
    excluded: [...excluded],
    allowed: allowed && [...allowed],
    charge,
  };
}

/**
 * Callers leave a stream that is silent for this long, also before its first
 * event: two seconds, four times the time in which it is due or eight times
 * the longest pause, whichever is longest.
 */
function findPatienceEndMs(ask: ServerAsk, nowMs: number): number {
  const {request, route, endsAtMs, hasBegun} = ask;
  if (route.kind !== 'streaming') return endsAtMs;
  const patienceMs = Math.max(
    MIN_PATIENCE_MS,
    PATIENCE_TARGETS * route.targetLatencyMs,
    PATIENCE_GAPS * (route.targetGapMs ?? 0),
  );
  // A caller that has a part of the answer counts from its last event.
  const sinceMs = hasBegun ? nowMs : request.receivedAtMs;
  return Math.min(endsAtMs, sinceMs + patienceMs);
}

export function toScheduledRequest(
  terms: AskTerms,
  nodeId: string,
  nowMs: number,
): ScheduledRequest {
  const {service, model, adapter, promptTokens, outputTokens, priority} = terms;
  const {askId, waitedMs, dueInMs, gapMs, endsInMs} = terms;
  const {excluded, allowed} = terms;
  return {
    ...{askId, service, model, adapter},
    ...{promptTokens, outputTokens, priority},
    arrivedAtMs: nowMs - waitedMs,
    dueAtMs: nowMs + dueInMs,
    gapMs,
    endsAtMs: nowMs + endsInMs,
    excluded: new Set(excluded),
    allowed: allowed && new Set(allowed),
    nodeId,
  };
}
