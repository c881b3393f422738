/** The slowdown figures that this node has heard from servers a short time ago. */
import {SlowdownFigure} from '@mimosatack/estimate-completion';
import {type BackendServerId} from '@mimosatack/types';

/** Bounds memory while servers come and go under new ids. */
const MAX_SERVERS = 4_096;

export class HeardSlowdowns {
  private readonly figures = new Map<BackendServerId, SlowdownFigure>();

  record(id: BackendServerId, percent: number | null, nowMs: number): void {
    if (percent === null) return;
    if (this.figures.size >= MAX_SERVERS) this.figures.clear();
    const figure = this.figures.get(id) ?? new SlowdownFigure();
    figure.record(percent, nowMs);
    this.figures.set(id, figure);
  }

  /** Null if the server has sent none or an old one. */
  find(id: BackendServerId, nowMs: number): number | null {
    return this.figures.get(id)?.findPercent(nowMs) ?? null;
  }
}
