/** Follows the newest configuration, from the store or from peers. */
import {type Clock, SuspensionAwareClock} from '@mimosatack/clock';
import {type TypedError, toTypedError} from '@mimosatack/errors';
import {
  type KeyedChange,
  KeyedFollower,
  type KeyedRecord,
  KeyedTable,
  type ReadKind,
  type ReadRecovery,
  findEra,
} from '@mimosatack/keyed-store';
import {type RandomSource} from '@mimosatack/random';
import {type PeriodicTimer, startPeriodic} from '@mimosatack/tasks';
import {type ServingConfiguration} from '@mimosatack/types';
import {type PlatformAdapter} from './platform_adapter.js';

export interface ConfigurationFollowerOptions {
  clock: Clock;
  random: RandomSource;
  platform: Pick<
    PlatformAdapter,
    'configurationTopic' | 'configurationKey' | 'decodeConfiguration'
  >;
  /** Whether this node reads the store on behalf of the others. */
  isReader: () => boolean;
  /** How many nodes read before this one when confirmations stop. */
  findRank: () => number;
  /** Longest time that a revoked key stays valid; null for no limit. */
  revokeMs: () => number | null;
  /** Time within which a configuration has to be in force at all nodes. */
  applyMs: () => number;
  onConfiguration: (configuration: ServingConfiguration) => void;
  /** Called with a record that can't be used. */
  onLeftOut: (key: string, error: TypedError) => void;
  onLost: (error: TypedError) => void;
  onRegained: (recovery: ReadRecovery) => void;
}

/** A version that another node knew to be the newest as of a time. */
interface PeerConfirmation {
  version: number;
  asOfMs: number;
  nodeName: string;
}

/** How long a read waits for the next change. */
const WAIT_MS = 20_000;
/**
 * Guards against connections that hang without a reset: the reader polls often
 * enough to see a change in time, and passes it on to the other nodes. Two waits and a
 * heartbeat are less than the shortest time in which a version has to be in force, so that
 * the age of the configuration stays below it at all nodes.
 */
const READER_WAIT_MS = 600;
/** `FRACTION` constants are fractions of `revokeMs`. */
const READER_WAIT_FRACTION = 0.1;
const MIN_INTERVAL_MS = 50;
const RETRY_DELAY_MS = 200;
/**
 * For nodes other than the reader. With its jitter it stays below the time in which a
 * change has to be in force, so that each node keeps the bound by its own reads.
 */
const MAX_RETRY_DELAY_MS = 700;
const REPEAT_AFTER_MS = 550;
/** Covers a large change, which takes this long to reach all nodes. */
const OWN_READ_MS = 1_000;
const OWN_READ_FRACTION = 0.2;
/** A node reads the store itself after this time without a confirmation. */
const UNCONFIRMED_MS = 1_500;
const UNCONFIRMED_FRACTION = 0.3;
/**
 * Delay between two nodes of consecutive rank: a read by one node confirms the
 * configuration for all nodes within two heartbeats.
 */
const RANK_DELAY_MS = 50;
const MAX_RANK_DELAY_MS = 1_200;
const CHECK_INTERVAL_MS = 250;

/**
 * Guards against reverting to an older version, received from a lagging peer, a slow read
 * or a store that came back from a copy: within an era of the store versions only increase.
 */
export class ConfigurationFollower {
  readonly table = new KeyedTable();
  private readonly follower: KeyedFollower;
  private readonly clock: SuspensionAwareClock;
  private current: ServingConfiguration | null = null;
  private inForce: KeyedRecord | null = null;
  /** Whether the store wrote it while this node followed; a snapshot may be of a copy. */
  private isLatestWrite = false;
  /** Time as of which other nodes have confirmed the current version. */
  private peerConfirmedAsOfMs = -Infinity;
  private confirmingPeer: string | null = null;
  /** Confirms a version that this node has not received yet. */
  private pendingConfirmation: PeerConfirmation | null = null;
  private confirmationCheck: PeriodicTimer | null = null;
  private lastWaitMs = 0;

  constructor(private readonly options: ConfigurationFollowerOptions) {
    const {random, platform} = options;
    this.clock = new SuspensionAwareClock(options.clock);
    this.follower = new KeyedFollower({
      ...{clock: this.clock, random, table: this.table},
      topic: platform.configurationTopic,
      waitMs: () => this.findWaitMs(),
      minIntervalMs: MIN_INTERVAL_MS,
      ...{retryDelayMs: RETRY_DELAY_MS, repeatAfterMs: REPEAT_AFTER_MS},
      maxRetryDelayMs: () =>
        options.isReader() ? RETRY_DELAY_MS : MAX_RETRY_DELAY_MS,
      onChanges: (changes, kind) => this.applyRead(changes, kind),
      onLost: error => options.onLost(error),
      onRegained: recovery => options.onRegained(recovery),
    });
  }

  get configuration(): ServingConfiguration | null {
    return this.current;
  }

  /** -1 before the first configuration. */
  get version(): number {
    return this.current?.version ?? -1;
  }

  /**
   * Time as of which the configuration is known to be the newest: the start of
   * the read that confirmed it, on the clock of `nowMs`.
   *
   * Guards against accepting a revoked key on a node that was partitioned,
   * frozen or suspended.
   */
  get asOfMs(): number {
    return Math.max(this.follower.lastSuccessStartMs, this.peerConfirmedAsOfMs);
  }

  /** Current time on a clock that includes suspension of the host. */
  get nowMs(): number {
    return this.clock.monotonicMs();
  }

  get ageMs(): number {
    return this.nowMs - this.asOfMs;
  }

  get isRecent(): boolean {
    return this.ageMs <= this.options.applyMs();
  }

  /** The node that confirmed the configuration last; null for a read of this node. */
  get confirmedBy(): string | null {
    const isOwnRead = this.follower.lastSuccessStartMs >= this.asOfMs;
    return isOwnRead ? null : this.confirmingPeer;
  }

  /** Time within which a node that reaches the store has read a change. */
  get ownReadMs(): number {
    return this.boundByRevocation(OWN_READ_MS, OWN_READ_FRACTION);
  }

  /**
   * Takes a confirmation by another node. It holds for this version and for all
   * later ones.
   *
   * @param asOfMs at or before the start of that node's read, on the clock of
   *     `nowMs`.
   */
  noteConfirmed(version: number, asOfMs: number, nodeName: string): void {
    if (version > this.version) {
      const knownVersion = this.pendingConfirmation?.version ?? -1;
      this.pendingConfirmation = {version, asOfMs, nodeName};
      if (version > knownVersion) this.follower.readNow('newer-version');
    } else if (asOfMs > this.peerConfirmedAsOfMs) {
      this.peerConfirmedAsOfMs = asOfMs;
      this.confirmingPeer = nodeName;
    }
  }

  start(): void {
    this.follower.start();
    this.confirmationCheck = startPeriodic(
      this.options.clock,
      CHECK_INTERVAL_MS,
      () => {
        if (this.isUnconfirmed || this.waitsTooLong) this.follower.refresh();
      },
    );
  }

  stop(): void {
    this.follower.stop();
    this.confirmationCheck?.stop();
  }

  /** Whether this node has to read the store itself. */
  private get isUnconfirmed(): boolean {
    const {isReader, findRank} = this.options;
    // Without a configuration there is no version to confirm; reads continue.
    if (!this.current || isReader()) return false;
    const rankDelayMs = Math.min(MAX_RANK_DELAY_MS, findRank() * RANK_DELAY_MS);
    return (
      this.ageMs >
      this.boundByRevocation(UNCONFIRMED_MS, UNCONFIRMED_FRACTION) + rankDelayMs
    );
  }

  /** Whether the read under way began before this node became the reader. */
  private get waitsTooLong(): boolean {
    return this.options.isReader() && this.lastWaitMs > this.readerWaitMs;
  }

  private get readerWaitMs(): number {
    return this.boundByRevocation(READER_WAIT_MS, READER_WAIT_FRACTION);
  }

  private findWaitMs(): number {
    const ownWaitMs = this.isUnconfirmed ? 0 : WAIT_MS;
    this.lastWaitMs = this.options.isReader() ? this.readerWaitMs : ownWaitMs;
    return this.lastWaitMs;
  }

  private boundByRevocation(maxMs: number, revokeFraction: number): number {
    const revokeMs = this.options.revokeMs() ?? Infinity;
    return Math.min(maxMs, revokeFraction * revokeMs);
  }

  /** The record of the configuration in force, for peers; a copy may hold an older one. */
  get recordsInForce(): readonly KeyedRecord[] {
    return this.inForce ? [this.inForce] : [];
  }

  applyFromPeer(records: readonly KeyedRecord[]): void {
    this.table.applyRecords(Infinity, records, 0);
    const {inForce, isLatestWrite} = this;
    const isApplied = this.apply(records, ({offset}, version) => {
      const isOlderWrite = isLatestWrite && offset <= (inForce?.offset ?? -1);
      return version > this.version && !isOlderWrite;
    });
    if (isApplied) this.isLatestWrite = false;
  }

  private applyRead(changes: readonly KeyedChange[], kind: ReadKind): void {
    const isApplied = this.apply(
      changes,
      (record, version) =>
        version > this.version ||
        (kind === 'increment' && this.isWrittenSinceRestore(record)),
    );
    if (isApplied) this.isLatestWrite = kind === 'increment';
  }

  /** Whether the store lacks the configuration in force and has been given another. */
  private isWrittenSinceRestore({offset, value}: KeyedChange): boolean {
    const {inForce} = this;
    if (!inForce?.value || !value) return false;
    return (
      findEra(offset) > findEra(inForce.offset) &&
      !Buffer.from(inForce.value).equals(value)
    );
  }

  /**
   * Returns whether the newest configuration is now in force.
   *
   * @param mayReplace whether a record of a version may replace the one in force
   */
  private apply(
    changes: readonly KeyedChange[],
    mayReplace: (record: KeyedChange, version: number) => boolean,
  ): boolean {
    const {platform, onLeftOut} = this.options;
    const newest = changes.findLast(
      ({key, value}) => key === platform.configurationKey && value !== null,
    );
    if (!newest?.value) return false;
    try {
      const decoded = platform.decodeConfiguration(newest.value);
      if (!mayReplace(newest, decoded.version)) return false;
      this.putInForce(decoded, newest);
      return true;
    } catch (thrown) {
      // The last valid configuration stays in effect.
      onLeftOut(newest.key, toTypedError(thrown));
      return false;
    }
  }

  /** Puts the last configuration back in force and throws if the new one fails. */
  private putInForce(decoded: ServingConfiguration, record: KeyedChange): void {
    const {current} = this;
    try {
      this.current = decoded;
      this.options.onConfiguration(decoded);
    } catch (thrown) {
      this.current = current;
      if (current) this.options.onConfiguration(current);
      throw thrown;
    }
    this.inForce = record;
    const pending = this.pendingConfirmation;
    if (!pending) return;
    const {version, asOfMs, nodeName} = pending;
    this.noteConfirmed(version, asOfMs, nodeName);
  }
}
