/** Turns requests into what is told of them, and back. */
import {type ScheduledRequest} from '@mimosatack/schedule-models';
import {type ServerAsk} from '@mimosatack/serve-requests';
import {type AskTerms} from './messages.js';

/** The output of a request that gives no estimate, as part of its most. */
const USUAL_OUTPUT_PART = 0.5;

/** Null for a request that asks nothing of a model. */
export function toAskTerms(
  askId: string,
  ask: ServerAsk,
  nowMs: number,
): AskTerms | null {
  const {request, route, service, excluded, endsAtMs} = ask;
  const {generation} = request;
  if (!generation) return null;
  const {maxOutputTokens, expectedOutputTokens} = generation;
  return {
    askId,
    service: service.name,
    model: generation.model,
    adapter: generation.adapter,
    promptTokens: generation.promptTokens,
    outputTokens: Math.round(
      expectedOutputTokens ?? maxOutputTokens * USUAL_OUTPUT_PART,
    ),
    priority: route.priority,
    waitedMs: nowMs - request.receivedAtMs,
    dueInMs: request.receivedAtMs + route.targetLatencyMs - nowMs,
    endsInMs: endsAtMs - nowMs,
    excluded: [...excluded],
  };
}

export function toScheduledRequest(
  terms: AskTerms,
  nowMs: number,
): ScheduledRequest {
  const {waitedMs, dueInMs, endsInMs, excluded, ...rest} = terms;
  return {
    ...rest,
    arrivedAtMs: nowMs - waitedMs,
    dueAtMs: nowMs + dueInMs,
    endsAtMs: nowMs + endsInMs,
    excluded: new Set(excluded),
  };
}
