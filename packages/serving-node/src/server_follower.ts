/** Follows the list of backend servers, from the store or from peers. */
import {type Clock} from '@mimosatack/clock';
import {type TypedError, toTypedError} from '@mimosatack/errors';
import {
  type KeyedChange,
  KeyedFollower,
  type KeyedRecord,
  KeyedTable,
  type ReadKind,
  type ReadRecovery,
} from '@mimosatack/keyed-store';
import {type RandomSource} from '@mimosatack/random';
import {
  type BackendServerEntry,
  type BackendServerId,
  type ServiceName,
  compareIncarnations,
  formatAddress,
} from '@mimosatack/types';
import {DepartedServers} from './departed_servers.js';
import {type PlatformAdapter} from './platform_adapter.js';
import {ServerIncarnations} from './server_incarnations.js';

/** A change of one server; a null entry means that it was removed. */
export interface ServerChange {
  id: BackendServerId;
  entry: BackendServerEntry | null;
  offset: number;
}

export interface ServerFollowerOptions {
  clock: Clock;
  random: RandomSource;
  platform: PlatformAdapter;
  /** Whether this node reads the store on behalf of the others. */
  isReader: () => boolean;
  /** Age of the entries that the reader passes on. */
  peerAgeMs: () => number;
  onChanges: (changes: readonly ServerChange[]) => void;
  /** Called when a server is added, is removed or changes state. */
  onStateChange: (change: ServerChange) => void;
  /** Called with the first offset of new records for peers. */
  onRead: (fromOffset: number) => void;
  /** Called with the first of consecutive entries of a server that can't be used. */
  onLeftOut: (id: BackendServerId, error: TypedError) => void;
  onLost: (error: TypedError) => void;
  onRegained: (recovery: ReadRecovery) => void;
}

/**
 * Heartbeats change entries continuously, so entries are read in batches, at
 * least twice within the 2 s after which a draining server may get no requests.
 */
const READ_INTERVAL_MS = 700;
/**
 * A node reads the store itself when entries from the reader are older. They are read every
 * 900 ms at most, confirmed with a heartbeat every 250 ms, and a read and the heartbeat
 * itself take time.
 */
const MAX_PEER_AGE_MS = 1_300;
/** How often a node checks whether it has to read the store. */
const CHECK_INTERVAL_MS = 200;
const RETRY_DELAY_MS = 200;
/** For nodes other than the reader, which retries faster and informs them. */
const MAX_RETRY_DELAY_MS = 2_000;
/** Twice the interval at which each server rewrites its entry. */
const SNAPSHOT_AFTER_MS = 2_400;
/** Time for servers to write their entries again after the store was restored. */
const KEEP_UNLISTED_MS = 2_000;
/** Time for servers to have written again all that the copy lacks. */
const KEEP_LEAVING_MS = 10_000;
/** Bounds the memory for errors that are reported only once. */
const MAX_INVALID_IDS = 1_000;

/**
 * Holds the newest entry of each server.
 *
 * Passes on to peers only changes that affect routing. Most heartbeats change
 * only the models that a server holds, which only the scheduling node needs; with 88
 * servers they would add 80 KB a second for each node.
 */
export class ServerFollower {
  /** Records from the store, and newer ones from peers. */
  private readonly table = new KeyedTable();
  /** For peers: the last entry of each server that affected routing. */
  readonly routingTable = new KeyedTable();
  private readonly follower: KeyedFollower;
  private readonly entries = new Map<BackendServerId, BackendServerEntry>();
  private readonly lives = new ServerIncarnations();
  /** Servers whose newest record could not be decoded. */
  private readonly invalidIds = new Set<BackendServerId>();
  private readonly departed = new DepartedServers();
  /** Servers that a copy lacks, and the next snapshot has to list. */
  private unconfirmedIds: BackendServerId[] = [];
  /** Until when entries of servers that had said that they leave are not believed. */
  private leavingUntilMs = -Infinity;
  private readAtMs = -Infinity;

  constructor(private readonly options: ServerFollowerOptions) {
    const {clock, random, platform} = options;
    this.follower = new KeyedFollower({
      ...{clock, random, table: this.table},
      topic: platform.serversTopic,
      waitMs: () => 0,
      minIntervalMs: CHECK_INTERVAL_MS,
      ...{retryDelayMs: RETRY_DELAY_MS, snapshotAfterMs: SNAPSHOT_AFTER_MS},
      maxRetryDelayMs: () =>
        options.isReader() ? RETRY_DELAY_MS : MAX_RETRY_DELAY_MS,
      isNeeded: () => this.isReadDue(),
      onChanges: (changes, kind) => this.applyRead(changes, kind),
      onLost: error => options.onLost(error),
      onRegained: recovery => options.onRegained(recovery),
    });
  }

  /**
   * Age of the list: the time since the start of the last read of the store. A response
   * may be older than its receipt tells, such as after the process stood still.
   */
  get ageMs(): number {
    return this.options.clock.monotonicMs() - this.follower.lastSuccessStartMs;
  }

  get count(): number {
    return this.entries.size;
  }

  get hasServers(): boolean {
    return this.entries.size > 0;
  }

  find(id: BackendServerId): BackendServerEntry | undefined {
    return this.entries.get(id);
  }

  list(): BackendServerEntry[] {
    return [...this.entries.values()];
  }

  /** Servers of a service that may get new requests. */
  listReady(service: ServiceName): BackendServerEntry[] {
    return this.list().filter(
      entry => entry.service === service && entry.state === 'ready',
    );
  }

  start(): void {
    this.follower.start();
  }

  stop(): void {
    this.follower.stop();
  }

  applyFromPeer(
    fromOffset: number,
    records: readonly KeyedRecord[],
    endOffset: number,
  ): void {
    this.routingTable.applyRecords(fromOffset, records, endOffset);
    // Keeps the read offset, because peers pass on only some of the changes.
    const newer = this.table.applyRecords(Infinity, records, 0);
    this.apply(this.keepLeaving(newer.flatMap(change => this.decode(change))));
  }

  private isReadDue(): boolean {
    const nowMs = this.options.clock.monotonicMs();
    const {isReader, peerAgeMs} = this.options;
    const mustRead = isReader() || peerAgeMs() > MAX_PEER_AGE_MS;
    if (!mustRead || nowMs < this.readAtMs + READ_INTERVAL_MS) return false;
    this.readAtMs = nowMs;
    return true;
  }

  private applyRead(changes: readonly KeyedChange[], kind: ReadKind): void {
    const current = changes
      .flatMap(change => this.decode(change))
      .filter(change => this.isCurrent(change));
    const decoded =
      kind === 'restored' ? this.reconcile(current) : this.keepLeaving(current);
    this.applyDecoded(changes, decoded);
    if (kind === 'snapshot') this.dropUnconfirmed();
  }

  /**
   * Takes from a copy of the store only what cannot be older than what is known: servers
   * that were not known, those that leave, and later processes. The servers that it lacks
   * stay until they have had time to write their entries again.
   */
  private reconcile(decoded: readonly ServerChange[]): ServerChange[] {
    const {clock} = this.options;
    this.leavingUntilMs = clock.monotonicMs() + KEEP_LEAVING_MS;
    this.departed.recordRestored(
      this.list().filter(({id}) => !this.invalidIds.has(id)),
    );
    clock.setTimer(KEEP_UNLISTED_MS, () => {
      this.unconfirmedIds = [...this.entries.keys()].filter(
        id => !this.table.get(id),
      );
      if (this.unconfirmedIds.length > 0) this.follower.reload();
    });
    return decoded.filter(({id, entry}) => {
      if (!entry || this.departed.hasDeparted(entry)) return false;
      const known = this.entries.get(id);
      return (
        !known ||
        entry.state === 'draining' ||
        compareIncarnations(entry.startedAtMs, known.startedAtMs) === 'later'
      );
    });
  }

  /**
   * A server that had said that it leaves does not become ready again by an entry that is
   * written again after the store was restored.
   */
  private keepLeaving(decoded: readonly ServerChange[]): ServerChange[] {
    const isOver = this.options.clock.monotonicMs() >= this.leavingUntilMs;
    if (isOver) return [...decoded];
    return decoded.map(change =>
      change.entry && this.departed.hadSaidSo(change.entry)
        ? {...change, entry: {...change.entry, state: 'draining'}}
        : change,
    );
  }

  private dropUnconfirmed(): void {
    const offset = this.table.endOffset - 1;
    const missing = this.unconfirmedIds
      .filter(id => !this.table.get(id))
      .map(key => ({key, value: null, offset}));
    this.unconfirmedIds = [];
    this.applyDecoded(
      missing,
      missing.map(({key}) => ({id: key, entry: null, offset})),
    );
  }

  private applyDecoded(
    changes: readonly KeyedChange[],
    decoded: readonly ServerChange[],
  ): void {
    const ids = new Set(
      decoded.filter(change => this.affectsRouting(change)).map(({id}) => id),
    );
    this.apply(decoded);
    this.shareRouting(changes.filter(({key}) => ids.has(key)));
  }

  private shareRouting(changes: readonly KeyedChange[]): void {
    if (changes.length === 0) return;
    const fromOffset = this.routingTable.endOffset;
    const last = Math.max(...changes.map(({offset}) => offset));
    this.routingTable.applyRecords(fromOffset, changes, last + 1);
    this.options.onRead(fromOffset);
  }

  private affectsRouting({id, entry}: ServerChange): boolean {
    const known = this.entries.get(id) ?? null;
    if (!entry || !known) return entry !== known;
    return (
      entry.state !== known.state ||
      entry.service !== known.service ||
      entry.startedAtMs !== known.startedAtMs ||
      entry.softwareVersion !== known.softwareVersion ||
      formatAddress(entry.address) !== formatAddress(known.address)
    );
  }

  private apply(decoded: readonly ServerChange[]): void {
    if (decoded.length === 0) return;
    const known = new Map(decoded.map(({id}) => [id, this.entries.get(id)]));
    decoded.forEach(change => {
      const {id, entry} = change;
      if (this.entries.get(id)?.state !== entry?.state) {
        this.options.onStateChange(change);
      }
      if (!entry) this.recordRemoved(id);
      this.setEntry(id, entry);
    });
    try {
      this.options.onChanges(decoded);
    } catch {
      decoded.forEach(({id}) => this.setEntry(id, known.get(id)));
      decoded.forEach(change => this.applyAlone(change));
    }
  }

  /** An entry that fails when it is used does not replace the one before. */
  private applyAlone(change: ServerChange): void {
    const {id, entry} = change;
    const known = this.entries.get(id);
    try {
      this.setEntry(id, entry);
      this.options.onChanges([change]);
    } catch (thrown) {
      this.setEntry(id, known);
      this.options.onLeftOut(id, toTypedError(thrown));
    }
  }

  private recordRemoved(id: BackendServerId): void {
    const known = this.entries.get(id);
    const wasInvalid = this.invalidIds.delete(id);
    if (known && !wasInvalid) this.departed.recordRemoved(known);
  }

  private setEntry(
    id: BackendServerId,
    entry: BackendServerEntry | null | undefined,
  ): void {
    if (entry) this.entries.set(id, entry);
    else this.entries.delete(id);
  }

  private isCurrent({id, entry}: ServerChange): boolean {
    return entry === null || this.lives.accepts(id, entry.startedAtMs);
  }

  private decode({key, value, offset}: KeyedChange): ServerChange[] {
    if (value === null) return [{id: key, entry: null, offset}];
    try {
      const entry = this.options.platform.decodeServer(key, value);
      this.invalidIds.delete(key);
      return [{id: key, entry, offset}];
    } catch (thrown) {
      return this.handleInvalid(key, offset, toTypedError(thrown));
    }
  }

  /**
   * Guards against sending requests to a server whose record another writer has
   * overwritten: the server counts as draining until its next heartbeat.
   */
  private handleInvalid(id: string, offset: number, error: TypedError) {
    if (!this.invalidIds.has(id)) this.options.onLeftOut(id, error);
    if (this.invalidIds.size < MAX_INVALID_IDS) this.invalidIds.add(id);
    const known = this.entries.get(id);
    if (!known) return [];
    return [{id, entry: {...known, state: 'draining' as const}, offset}];
  }
}
