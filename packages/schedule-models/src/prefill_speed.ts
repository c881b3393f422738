/** Estimates how fast engines read prompts. */
import {type BackendServerId, type ServiceName} from '@mimosatack/types';

/** The slower of the two known engine speeds, 29.4 and 38.1 tokens per millisecond. */
const INITIAL_MS_PER_TOKEN = 1 / 29.4;
/** Network round trip of 2 ms and first decoding step of 5 ms. */
const OVERHEAD_MS = 7;
/** For shorter prompts, the overhead dominates the response time. */
const MIN_PROMPT_TOKENS = 200;
/** Weights of one sample in the moving averages. */
const ENGINE_SMOOTHING = 0.15;
const SERVICE_SMOOTHING = 0.05;
/** Limit of one sample, as a multiple of the current estimate. */
const MAX_SAMPLE_FACTOR = 4;
/** Bounds of all estimates. */
const MIN_MS_PER_TOKEN = 1 / 60;
const MAX_MS_PER_TOKEN = 1 / 2;

/**
 * Prefill time per prompt token, as measured from responses. Cached prompt
 * prefixes are not read again, so the time is shorter than for uncached
 * prompts.
 */
export class PrefillSpeed {
  private readonly engines = new Map<BackendServerId, number>();
  private readonly services = new Map<ServiceName, number>();

  /**
   * Records a response to a request that may have shared the engine with other
   * prompts, so its time is only an upper bound.
   *
   * Guards against an estimate that stays too slow after late responses that had
   * another cause, such as a restart of all nodes: requests would be deferred, so the
   * engine would never be idle, and only idle engines provide exact samples.
   */
  recordUpperBound(
    id: BackendServerId,
    service: ServiceName,
    promptTokens: number,
    ttfbMs: number,
  ): void {
    const sample = Math.max(0, ttfbMs - OVERHEAD_MS) / promptTokens;
    if (sample >= this.findMsPerToken(id, service)) return;
    this.record(id, service, promptTokens, ttfbMs);
  }

  /** Records a response to a request whose prompt the engine read alone. */
  record(
    id: BackendServerId,
    service: ServiceName,
    promptTokens: number,
    ttfbMs: number,
  ): void {
    if (promptTokens < MIN_PROMPT_TOKENS) return;
    const sample = Math.max(0, ttfbMs - OVERHEAD_MS) / promptTokens;
    this.engines.set(
      id,
      smooth(this.findMsPerToken(id, service), sample, ENGINE_SMOOTHING),
    );
    this.services.set(
      service,
      smooth(this.findServiceAverage(service), sample, SERVICE_SMOOTHING),
    );
  }

  findMsPerToken(id: BackendServerId, service: ServiceName): number {
    return this.engines.get(id) ?? this.findServiceAverage(service);
  }

  /** The average of all engines of a service. */
  findServiceAverage(service: ServiceName): number {
    return this.services.get(service) ?? INITIAL_MS_PER_TOKEN;
  }

  remove(id: BackendServerId): void {
    this.engines.delete(id);
  }
}

function smooth(before: number, sample: number, smoothing: number): number {
  const bounded = Math.min(sample, MAX_SAMPLE_FACTOR * before);
  const mixed = before + smoothing * (bounded - before);
  return Math.min(MAX_MS_PER_TOKEN, Math.max(MIN_MS_PER_TOKEN, mixed));
}
