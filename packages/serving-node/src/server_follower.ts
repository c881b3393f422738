/** Keeps the list of backend servers, from the store or from a peer. */
import {type Clock} from '@mimosatack/clock';
import {type TypedError, toTypedError} from '@mimosatack/errors';
import {
  type KeyedChange,
  KeyedFollower,
  type KeyedRecord,
  KeyedTable,
} from '@mimosatack/keyed-store';
import {type RandomSource} from '@mimosatack/random';
import {
  type BackendServerEntry,
  type BackendServerId,
  type ServiceName,
  formatAddress,
} from '@mimosatack/types';
import {type PlatformAdapter} from './platform_adapter.js';
import {ServerLives} from './server_lives.js';

/** A change of one server; a null entry means that it is gone. */
export interface ServerChange {
  id: BackendServerId;
  entry: BackendServerEntry | null;
  offset: number;
}

/** What the follower is built from. */
export interface ServerFollowerOptions {
  clock: Clock;
  random: RandomSource;
  platform: PlatformAdapter;
  /** Whether this node reads for the others too. */
  isReader: () => boolean;
  /** How old what the reader passes on is. */
  peerAgeMs: () => number;
  onChanges: (changes: readonly ServerChange[]) => void;
  /** Told when a server comes, goes or changes its state. */
  onState: (change: ServerChange) => void;
  /** Told of records that came from the store, to pass on. */
  onRead: (fromOffset: number) => void;
  onFault: (error: unknown) => void;
  onLost: (error: TypedError) => void;
  onRegained: () => void;
}

/**
 * Entries change all the time with their heartbeats, so they are read in
 * batches: seldom enough to be cheap, and at least twice within the 2 s after
 * which a leaving server may get nothing new.
 */
const READ_INTERVAL_MS = 700;
/** A node reads by itself when what it is passed on is older than this. */
const MAX_PEER_AGE_MS = 1_200;
/** How often a node that does not read looks whether it should. */
const LOOK_INTERVAL_MS = 200;
const RETRY_DELAY_MS = 200;
/** The node that reads for the others notices sooner, and tells them. */
const MAX_RETRY_DELAY_MS = 2_000;
/** Twice the time in which each server writes its entry anew. */
const SNAPSHOT_AFTER_MS = 2_400;
/** Unreadable ids that are remembered, so as to tell of each only once. */
const MAX_FAULTY = 1_000;

/**
 * The newest entry of each server.
 *
 * Of what it reads, a node passes on only what the others send requests by:
 * servers that come, go or change their state, service or address. Most entries
 * change with every heartbeat in what the server holds, which concerns the node
 * that schedules alone. With 88 servers, that is 80 KB a second for each node of
 * the fleet, and nearly half of what a node without requests works.
 */
export class ServerFollower {
  /** What was read from the store, and of what peers passed on all that is newer. */
  private readonly table = new KeyedTable();
  /** For each server, the entry that changed where requests may go. */
  readonly passedOn = new KeyedTable();
  private readonly follower: KeyedFollower;
  private readonly entries = new Map<BackendServerId, BackendServerEntry>();
  private readonly lives = new ServerLives();
  /** Servers whose newest record can not be read. */
  private readonly faulty = new Set<BackendServerId>();
  private readAtMs = -Infinity;

  constructor(private readonly options: ServerFollowerOptions) {
    const {clock, random, platform} = options;
    this.follower = new KeyedFollower({
      ...{clock, random, table: this.table},
      topic: platform.serversTopic,
      waitMs: () => 0,
      minIntervalMs: LOOK_INTERVAL_MS,
      ...{retryDelayMs: RETRY_DELAY_MS, snapshotAfterMs: SNAPSHOT_AFTER_MS},
      maxRetryDelayMs: () =>
        options.isReader() ? RETRY_DELAY_MS : MAX_RETRY_DELAY_MS,
      isNeeded: () => this.isReadDue(),
      onChanges: changes => this.take(changes),
      onLost: error => options.onLost(error),
      onRegained: () => options.onRegained(),
    });
  }

  /** How long ago this node has read the list from the store. */
  get ageMs(): number {
    return this.options.clock.monotonicMs() - this.follower.lastSuccessMs;
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

  /** Servers of a service that may get new work. */
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

  /** Takes records that a peer has passed on. */
  takeFromPeer(
    fromOffset: number,
    records: readonly KeyedRecord[],
    endOffset: number,
  ): void {
    this.passedOn.applyRecords(fromOffset, records, endOffset);
    // What this node reads on from stays: it was not told of all changes.
    const newer = this.table.applyRecords(Infinity, records, 0);
    this.apply(newer.flatMap(change => this.decode(change)));
  }

  private isReadDue(): boolean {
    const nowMs = this.options.clock.monotonicMs();
    const {isReader, peerAgeMs} = this.options;
    const isOwn = isReader() || peerAgeMs() > MAX_PEER_AGE_MS;
    if (!isOwn || nowMs < this.readAtMs + READ_INTERVAL_MS) return false;
    this.readAtMs = nowMs;
    return true;
  }

  private take(changes: readonly KeyedChange[]): void {
    const decoded = changes
      .flatMap(change => this.decode(change))
      .filter(change => this.isOfKnownLife(change));
    const ids = new Set(
      decoded.filter(change => this.isReroute(change)).map(({id}) => id),
    );
    this.apply(decoded);
    this.passOn(changes.filter(({key}) => ids.has(key)));
  }

  private passOn(changes: readonly KeyedChange[]): void {
    if (changes.length === 0) return;
    const fromOffset = this.passedOn.endOffset;
    const last = Math.max(...changes.map(({offset}) => offset));
    this.passedOn.applyRecords(fromOffset, changes, last + 1);
    this.options.onRead(fromOffset);
  }

  /** Whether requests go elsewhere because of it. */
  private isReroute({id, entry}: ServerChange): boolean {
    const known = this.entries.get(id) ?? null;
    if (!entry || !known) return entry !== known;
    return (
      entry.state !== known.state ||
      entry.service !== known.service ||
      entry.startedAtMs !== known.startedAtMs ||
      formatAddress(entry.address) !== formatAddress(known.address)
    );
  }

  private apply(decoded: readonly ServerChange[]): void {
    decoded.forEach(change => {
      const {id, entry} = change;
      if (this.entries.get(id)?.state !== entry?.state) {
        this.options.onState(change);
      }
      if (entry) this.entries.set(id, entry);
      else this.entries.delete(id);
    });
    if (decoded.length > 0) this.options.onChanges(decoded);
  }

  private isOfKnownLife({id, entry}: ServerChange): boolean {
    return entry === null || this.lives.accepts(id, entry.startedAtMs);
  }

  private decode({key, value, offset}: KeyedChange): ServerChange[] {
    if (value === null) return [{id: key, entry: null, offset}];
    try {
      const entry = this.options.platform.decodeServer(key, value);
      this.faulty.delete(key);
      return [{id: key, entry, offset}];
    } catch (thrown) {
      return this.passOver(key, offset, toTypedError(thrown));
    }
  }

  /**
   * Guards against a record that somebody else wrote under a server's id: what
   * it says is not known, so that the server gets nothing new until its next
   * heartbeat; what runs there goes on. Told once until then.
   */
  private passOver(id: string, offset: number, error: TypedError) {
    if (!this.faulty.has(id)) this.options.onFault(error);
    if (this.faulty.size < MAX_FAULTY) this.faulty.add(id);
    const known = this.entries.get(id);
    if (!known) return [];
    return [{id, entry: {...known, state: 'draining' as const}, offset}];
  }
}
