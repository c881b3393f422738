/** Remembers servers that left, which an older copy of the store still lists as ready. */
import {
  type BackendServerEntry,
  type BackendServerId,
  type ServerStartMs,
  compareIncarnations,
} from '@mimosatack/types';

/** Three ids for each server at the target size. */
const MAX_DEPARTED = 2_000;

interface Departure {
  startedAtMs: ServerStartMs;
  /** Whether the server had said that it leaves; otherwise its entry has lapsed. */
  hadSaidSo: boolean;
}

export class DepartedServers {
  private readonly departures = new Map<BackendServerId, Departure>();

  /** Has to be called with the last entry of each server that is removed. */
  recordRemoved({id, startedAtMs, state}: BackendServerEntry): void {
    this.add(id, {startedAtMs, hadSaidSo: state === 'draining'});
  }

  /** Called when the store came back from a copy, with the entries known before. */
  recordRestored(entries: Iterable<BackendServerEntry>): void {
    [...entries]
      .filter(({state}) => state === 'draining')
      .forEach(({id, startedAtMs}) =>
        this.add(id, {startedAtMs, hadSaidSo: true}),
      );
  }

  /** Whether the process that an entry is of left before. */
  hasDeparted({id, startedAtMs}: BackendServerEntry): boolean {
    return this.find(id, startedAtMs) !== undefined;
  }

  /** Whether it had said that it leaves, which no later entry takes back. */
  hadSaidSo({id, startedAtMs}: BackendServerEntry): boolean {
    return this.find(id, startedAtMs)?.hadSaidSo === true;
  }

  private find(
    id: BackendServerId,
    startedAtMs: ServerStartMs,
  ): Departure | undefined {
    const known = this.departures.get(id);
    if (!known) return undefined;
    const order = compareIncarnations(startedAtMs, known.startedAtMs);
    return order === 'later' ? undefined : known;
  }

  private add(id: BackendServerId, departure: Departure): void {
    this.departures.delete(id);
    this.departures.set(id, departure);
    const [oldest] = this.departures.keys();
    if (this.departures.size > MAX_DEPARTED && oldest !== undefined) {
      this.departures.delete(oldest);
    }
  }
}
