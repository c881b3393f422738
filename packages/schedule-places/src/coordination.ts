/** Which services have their requests assigned by the scheduling node. */
import {type ServiceName} from '@mimosatack/types';

/** Longer than most pauses in a load that comes in bursts. */
const MIN_CALM_MS = 3_000;

export class Coordination {
  private readonly pressedAtMs = new Map<ServiceName, number>();

  list(): ServiceName[] {
    return [...this.pressedAtMs.keys()];
  }

  /** Returns whether the service was not coordinated before. */
  record(service: ServiceName, nowMs: number): boolean {
    const isNew = !this.pressedAtMs.has(service);
    this.pressedAtMs.set(service, nowMs);
    return isNew;
  }

  prolong(service: ServiceName, nowMs: number): void {
    if (this.pressedAtMs.has(service)) this.pressedAtMs.set(service, nowMs);
  }

  /** Ends the coordination of services without recent pressure, and returns them. */
  endWhere(
    nowMs: number,
    isCalm: (service: ServiceName) => boolean,
  ): ServiceName[] {
    const ended = [...this.pressedAtMs]
      .filter(([, atMs]) => nowMs - atMs >= MIN_CALM_MS)
      .map(([service]) => service)
      .filter(isCalm);
    ended.forEach(service => this.pressedAtMs.delete(service));
    return ended;
  }
}
