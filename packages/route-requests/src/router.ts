/** Chooses a backend server among those that can serve a request. */
import {type EngineBoard} from '@mimosatack/engine-board';
import {type RandomSource} from '@mimosatack/random';
import {type BackendServerId} from '@mimosatack/types';

/** What a request needs of a backend server. */
export interface RouteRequest {
  candidates: readonly BackendServerId[];
  /** Backend servers that were tried already. */
  excluded: ReadonlySet<BackendServerId>;
}

/** Routes by reported load plus what this node has sent since. */
export class Router {
  private readonly inFlight = new Map<BackendServerId, number>();
  private readonly draining = new Set<BackendServerId>();

  constructor(
    private readonly board: EngineBoard,
    private readonly random: RandomSource,
  ) {}

  /** A backend server that is leaving gets no new work. */
  setDraining(ids: readonly BackendServerId[]): void {
    this.draining.clear();
    ids.forEach(id => this.draining.add(id));
  }

  /**
   * Looks at two candidates at random and takes the less loaded one, so that
   * many routers with the same late reports do not all choose the same.
   */
  choose(request: RouteRequest): BackendServerId | null {
    const open = request.candidates.filter(
      id => !request.excluded.has(id) && !this.draining.has(id),
    );
    if (open.length <= 1) return open[0] ?? null;
    const first = this.random.nextInt(0, open.length - 1);
    const step = this.random.nextInt(1, open.length - 1);
    const a = open[first] as BackendServerId;
    const b = open[(first + step) % open.length] as BackendServerId;
    return this.score(a) <= this.score(b) ? a : b;
  }

  noteSent(id: BackendServerId): void {
    this.inFlight.set(id, (this.inFlight.get(id) ?? 0) + 1);
  }

  noteDone(id: BackendServerId): void {
    const left = (this.inFlight.get(id) ?? 1) - 1;
    if (left <= 0) this.inFlight.delete(id);
    else this.inFlight.set(id, left);
  }

  private score(id: BackendServerId): number {
    const load = this.board.find(id)?.load;
    const reported = load ? load.runningRequests + load.queuedRequests : 0;
    return reported + (this.inFlight.get(id) ?? 0);
  }
}
