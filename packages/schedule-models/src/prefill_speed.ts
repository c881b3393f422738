/** Learns how fast engines read prompts. */
import {type BackendServerId, type ServiceName} from '@mimosatack/types';

/**
 * Time to read one prompt token until it is known; the slower of the speeds on
 * the users' sheets, 29.4 and 38.1 tokens in a millisecond.
 */
const FIRST_MS_PER_TOKEN = 1 / 29.4;
/** The way there and back and the first step: 2 ms and 5 ms on the sheets. */
const OVERHEAD_MS = 7;
/** Shorter prompts tell more of the way than of the reading. */
const MIN_PROMPT_TOKENS = 200;
/** How much one answer counts against those before it. */
const ENGINE_SMOOTHING = 0.15;
const SERVICE_SMOOTHING = 0.05;
/** One answer counts as this many times the usual at most. */
const MAX_SAMPLE_FACTOR = 4;
/** Engines are believed to differ from these figures by no more. */
const MIN_MS_PER_TOKEN = 1 / 60;
const MAX_MS_PER_TOKEN = 1 / 2;

/**
 * How long engines take for a prompt token, as answers show it. Parts of
 * prompts that an engine has kept are not read again, so this is less than its
 * plain speed; an engine that has turned slow shows here first.
 */
export class ReadingSpeed {
  private readonly engines = new Map<BackendServerId, number>();
  private readonly services = new Map<ServiceName, number>();

  /**
   * An answer to a request that the engine may have read others beside: it reads
   * no slower than that.
   *
   * Guards against a belief that keeps itself up. Where answers are late for
   * another reason, as when all nodes have just started, engines are taken for
   * slow; requests are held back, and no engine ever seems to have nothing to
   * read, which is when it would teach its speed. On a day of the grown rostering
   * every request waited 0.9 s for the 15 s that were left of it.
   */
  noteAtMost(
    id: BackendServerId,
    service: ServiceName,
    promptTokens: number,
    headMs: number,
  ): void {
    const sample = Math.max(0, headMs - OVERHEAD_MS) / promptTokens;
    if (sample >= this.findMsPerToken(id, service)) return;
    this.note(id, service, promptTokens, headMs);
  }

  /** An answer to a request that the engine had nothing else to read with. */
  note(
    id: BackendServerId,
    service: ServiceName,
    promptTokens: number,
    headMs: number,
  ): void {
    if (promptTokens < MIN_PROMPT_TOKENS) return;
    const sample = Math.max(0, headMs - OVERHEAD_MS) / promptTokens;
    this.engines.set(
      id,
      mix(this.findMsPerToken(id, service), sample, ENGINE_SMOOTHING),
    );
    this.services.set(
      service,
      mix(this.findUsual(service), sample, SERVICE_SMOOTHING),
    );
  }

  findMsPerToken(id: BackendServerId, service: ServiceName): number {
    return this.engines.get(id) ?? this.findUsual(service);
  }

  /** Of the engines of a service together. */
  findUsual(service: ServiceName): number {
    return this.services.get(service) ?? FIRST_MS_PER_TOKEN;
  }

  forget(id: BackendServerId): void {
    this.engines.delete(id);
  }
}

function mix(before: number, sample: number, smoothing: number): number {
  const bounded = Math.min(sample, MAX_SAMPLE_FACTOR * before);
  const mixed = before + smoothing * (bounded - before);
  return Math.min(MAX_MS_PER_TOKEN, Math.max(MIN_MS_PER_TOKEN, mixed));
}
