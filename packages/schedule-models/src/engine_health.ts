/** Excludes engines for a while after they have failed. */
import {type BackendServerId} from '@mimosatack/types';
import {type RunResult} from './scheduled_request.js';

/** The first cooldown of an unreachable engine; each further one is longer. */
const INITIAL_COOLDOWN_MS = 400;
const COOLDOWN_FACTOR = 2;
const MAX_COOLDOWN_MS = 3_200;
/** Cooldown of an engine that responds but fails many requests. */
const FAILING_COOLDOWN_MS = 2_000;
/** Failure rate at which an engine counts as failing. */
const MAX_FAILURE_RATE = 0.3;
/** Weight of one result in the moving average. */
const FAILURE_RATE_SMOOTHING = 0.25;
/** Minimum number of results before an engine can count as failing. */
const MIN_RESULTS = 3;
/**
 * Time within which two nodes have to lose an engine for it to count as lost.
 */
const AGREEMENT_MS = 1_000;

/** The health of one engine as one node sees it. */
interface PathHealth {
  unreachableCount: number;
  unreachableAtMs: number;
  cooldownUntilMs: number;
  failureRate: number;
  results: number;
}

/**
 * Guards against sending work to a crashed engine that is still listed: it is
 * idle and would therefore be preferred. Results count per node, since an
 * engine may be unreachable from some nodes only. An engine that two nodes, or
 * one node twice in a row, cannot reach is excluded for all nodes.
 */
export class EngineHealth {
  private readonly engines = new Map<
    BackendServerId,
    Map<string, PathHealth>
  >();

  record(
    id: BackendServerId,
    nodeId: string,
    result: RunResult,
    nowMs: number,
  ): void {
    const path = this.getOrAddPath(id, nodeId);
    if (result === 'unreachable') return this.recordUnreachable(path, nowMs);
    if (result === 'served') return this.recordSuccess(path);
    if (result === 'failed') this.recordFailure(path, nowMs);
  }

  /** Whether the node may send requests to the engine. */
  isUsable(id: BackendServerId, nodeId: string, nowMs: number): boolean {
    const paths = this.engines.get(id);
    if (!paths) return true;
    const own = paths.get(nodeId);
    if (own && own.cooldownUntilMs > nowMs) return false;
    return !this.isLost(id, nowMs);
  }

  /** Whether the engine counts as unreachable for all nodes. */
  isLost(id: BackendServerId, nowMs: number): boolean {
    const unreachable = [...(this.engines.get(id)?.values() ?? [])].filter(
      ({unreachableCount, unreachableAtMs, cooldownUntilMs}) =>
        unreachableCount > 0 &&
        cooldownUntilMs > nowMs &&
        nowMs - unreachableAtMs < AGREEMENT_MS + MAX_COOLDOWN_MS,
    );
    return (
      unreachable.length >= 2 ||
      unreachable.some(({unreachableCount}) => unreachableCount >= 2)
    );
  }

  remove(id: BackendServerId): void {
    this.engines.delete(id);
  }

  private recordUnreachable(path: PathHealth, nowMs: number): void {
    // Requests that were sent together and fail together count as one failure.
    if (path.cooldownUntilMs > nowMs) return;
    path.unreachableCount += 1;
    path.unreachableAtMs = nowMs;
    const cooldownMs =
      INITIAL_COOLDOWN_MS * COOLDOWN_FACTOR ** (path.unreachableCount - 1);
    path.cooldownUntilMs = nowMs + Math.min(MAX_COOLDOWN_MS, cooldownMs);
  }

  private recordSuccess(path: PathHealth): void {
    path.unreachableCount = 0;
    path.cooldownUntilMs = 0;
    this.updateFailureRate(path, 0);
  }

  private recordFailure(path: PathHealth, nowMs: number): void {
    this.updateFailureRate(path, 1);
    if (path.results >= MIN_RESULTS && path.failureRate >= MAX_FAILURE_RATE) {
      path.cooldownUntilMs = nowMs + FAILING_COOLDOWN_MS;
    }
  }

  private updateFailureRate(path: PathHealth, value: number): void {
    path.results += 1;
    path.failureRate += FAILURE_RATE_SMOOTHING * (value - path.failureRate);
  }

  private getOrAddPath(id: BackendServerId, nodeId: string): PathHealth {
    const paths = this.engines.get(id) ?? new Map<string, PathHealth>();
    this.engines.set(id, paths);
    const known = paths.get(nodeId);
    if (known) return known;
    const added: PathHealth = {
      unreachableCount: 0,
      unreachableAtMs: -Infinity,
      cooldownUntilMs: 0,
      failureRate: 0,
      results: 0,
    };
    paths.set(nodeId, added);
    return added;
  }
}
