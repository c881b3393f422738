/** Which engines are left out for a while since they fail. */
import {type BackendServerId} from '@mimosatack/types';
import {type RunResult} from './scheduled_request.js';

/** The first rest of an engine that can't be reached; each next is longer. */
const FIRST_REST_MS = 400;
const REST_FACTOR = 2;
const MAX_REST_MS = 3_200;
/** Rest of an engine that answers and fails; it may serve some all the same. */
const FAILING_REST_MS = 2_000;
/** Share of failures from which an engine counts as failing. */
const FAILING_SHARE = 0.3;
/** How much one result counts against those before it. */
const SHARE_SMOOTHING = 0.25;
/** This many results at least decide about an engine. */
const MIN_RESULTS = 3;
/** Two nodes that lose an engine within this time make it lost for all. */
const AGREEMENT_MS = 1_000;

/** The way from one node to one engine. */
interface Path {
  misses: number;
  missedAtMs: number;
  restUntilMs: number;
  failingShare: number;
  results: number;
}

/**
 * Guards against work for an engine that is down while its entry still stands
 * in the list, which is for several heartbeats: it has nothing to do then, so
 * it looks like the best choice for everything. An engine may also be out of
 * reach, or fail, for some nodes only, so each node's results count for it;
 * where two nodes agree that it is gone, it rests for all.
 */
export class EngineHealth {
  private readonly engines = new Map<BackendServerId, Map<string, Path>>();

  note(
    id: BackendServerId,
    nodeId: string,
    result: RunResult,
    nowMs: number,
  ): void {
    const path = this.openPath(id, nodeId);
    if (result === 'unreachable') return this.noteMiss(path, nowMs);
    if (result === 'served') return this.noteServed(path);
    if (result === 'failed') this.noteFailed(path, nowMs);
  }

  /** Whether requests of a node may go to the engine. */
  isUsable(id: BackendServerId, nodeId: string, nowMs: number): boolean {
    const paths = this.engines.get(id);
    if (!paths) return true;
    const own = paths.get(nodeId);
    if (own && own.restUntilMs > nowMs) return false;
    return !this.isLost(id, nowMs);
  }

  /** Whether the engine is gone for all nodes, as far as can be told. */
  isLost(id: BackendServerId, nowMs: number): boolean {
    const missing = [...(this.engines.get(id)?.values() ?? [])].filter(
      ({misses, missedAtMs, restUntilMs}) =>
        misses > 0 &&
        restUntilMs > nowMs &&
        nowMs - missedAtMs < AGREEMENT_MS + MAX_REST_MS,
    );
    return missing.length >= 2 || missing.some(({misses}) => misses >= 2);
  }

  forget(id: BackendServerId): void {
    this.engines.delete(id);
  }

  private noteMiss(path: Path, nowMs: number): void {
    // Requests that were sent together fail together; they count once.
    if (path.restUntilMs > nowMs) return;
    path.misses += 1;
    path.missedAtMs = nowMs;
    const restMs = FIRST_REST_MS * REST_FACTOR ** (path.misses - 1);
    path.restUntilMs = nowMs + Math.min(MAX_REST_MS, restMs);
  }

  private noteServed(path: Path): void {
    path.misses = 0;
    path.restUntilMs = 0;
    this.mixIn(path, 0);
  }

  private noteFailed(path: Path, nowMs: number): void {
    this.mixIn(path, 1);
    if (path.results >= MIN_RESULTS && path.failingShare >= FAILING_SHARE) {
      path.restUntilMs = nowMs + FAILING_REST_MS;
    }
  }

  private mixIn(path: Path, value: number): void {
    path.results += 1;
    path.failingShare += SHARE_SMOOTHING * (value - path.failingShare);
  }

  private openPath(id: BackendServerId, nodeId: string): Path {
    const paths = this.engines.get(id) ?? new Map<string, Path>();
    this.engines.set(id, paths);
    const known = paths.get(nodeId);
    if (known) return known;
    const added: Path = {
      misses: 0,
      missedAtMs: -Infinity,
      restUntilMs: 0,
      failingShare: 0,
      results: 0,
    };
    paths.set(nodeId, added);
    return added;
  }
}
