/**
 * Estimates when engines would complete a request. Takes effect for the engines of a service
 * from the first slowdown figure of one of them.
 */
import {
  CompletionEstimate,
  type EstimatedServer,
  type SentRequest,
  isSlowdownPercent,
} from '@mimosatack/estimate-completion';
import {type ServiceName} from '@mimosatack/types';
import {type EngineView} from './engine_view.js';
import {type ScheduledRequest} from './scheduled_request.js';

/** Generating a token takes about as long as reading this many tokens of the prompt. */
const COST_PER_OUTPUT_TOKEN = 10;
/** Times are learned for a request of this cost, in prompt tokens. */
const STANDARD_COST = 1_000;

export class EngineCompletion {
  private readonly estimates = new Map<ServiceName, CompletionEstimate>();
  private readonly sent = new WeakMap<ScheduledRequest, SentRequest>();

  recordSlowdown(engine: EngineView, percent: number, nowMs: number): void {
    const {service} = engine.entry;
    const known = this.estimates.get(service);
    if (!known && !isSlowdownPercent(percent)) return;
    // Requests reuse the connections of all nodes.
    const estimate = known ?? new CompletionEstimate({connectionSetupMs: 0});
    this.estimates.set(service, estimate);
    const load = {running: engine.runs.size, waiting: 0};
    const server = toServer(engine);
    estimate.recordLoad(server, {...load, slowdownPercent: percent}, nowMs);
  }

  /** To be called before the engine counts the request. */
  recordStart(
    engine: EngineView,
    request: ScheduledRequest,
    nowMs: number,
  ): void {
    const estimate = this.estimates.get(engine.entry.service);
    if (!estimate) return;
    const {size} = engine.runs;
    const sent = estimate.recordSent(toServer(engine), nowMs, size);
    this.sent.set(request, sent);
  }

  recordEnd(
    engine: EngineView,
    request: ScheduledRequest,
    isServed: boolean,
    nowMs: number,
  ): void {
    const sent = this.sent.get(request);
    if (!sent) return;
    this.sent.delete(request);
    const scale = STANDARD_COST / Math.max(1, findCost(request));
    const tookMs = (nowMs - sent.sentAtMs) * scale;
    const end = isServed ? 'completed' : 'neutral';
    this.estimates
      .get(engine.entry.service)
      ?.recordEnd(sent, end, nowMs, tookMs);
  }

  /**
   * The time of a request of the standard cost at the engine; null where no engine of the
   * service has sent a figure.
   *
   * @param minRuns the engine counts as running this many requests at least.
   */
  findMs(engine: EngineView, minRuns: number, nowMs: number): number | null {
    const estimate = this.estimates.get(engine.entry.service);
    if (!estimate) return null;
    const runs = Math.max(engine.runs.size, minRuns);
    return estimate.findMs(toServer(engine), nowMs, runs);
  }
}

function findCost({promptTokens, outputTokens}: ScheduledRequest): number {
  return promptTokens + COST_PER_OUTPUT_TOKEN * outputTokens;
}

function toServer({id, entry, spec}: EngineView): EstimatedServer {
  const {startedAtMs, failureDomain} = entry;
  return {id, startedAtMs, failureDomain, slots: spec.slots};
}
