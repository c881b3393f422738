/** Keeps the newest configuration, whoever brings it. */
import {type Clock, SuspensionAwareClock} from '@mimosatack/clock';
import {type TypedError} from '@mimosatack/errors';
import {
  type KeyedChange,
  KeyedFollower,
  type KeyedRecord,
  KeyedTable,
} from '@mimosatack/keyed-store';
import {type RandomSource} from '@mimosatack/random';
import {type Periodic, startPeriodic} from '@mimosatack/tasks';
import {type ServingConfiguration} from '@mimosatack/types';
import {type PlatformAdapter} from './platform_adapter.js';

/** What the follower is built from. */
export interface ConfigurationFollowerOptions {
  clock: Clock;
  random: RandomSource;
  platform: Pick<
    PlatformAdapter,
    'configurationTopic' | 'configurationKey' | 'decodeConfiguration'
  >;
  /** Whether this node has to notice a change for the others too. */
  isReader: () => boolean;
  /** How many other nodes read before this one when nobody confirms. */
  findRank: () => number;
  /** What was taken back is served no longer than this; null for no bound. */
  revokeMs: () => number | null;
  onConfiguration: (configuration: ServingConfiguration) => void;
  onFault: (error: unknown) => void;
  onLost: (error: TypedError) => void;
  onRegained: () => void;
}

/** A version that was the newest as of a time. */
interface ToldConfirmation {
  version: number;
  asOfMs: number;
}

/** A read waits for the next change for this long. */
const WAIT_MS = 20_000;
/**
 * Connections may all go silent at once without a reset. One node reads so
 * often that it notices within the time in which a change has to be in force;
 * the others learn of it from that node.
 */
const READER_WAIT_MS = 900;
/** Times that end in `PART` are parts of the time for which a key may live on. */
const READER_WAIT_PART = 0.1;
const MIN_INTERVAL_MS = 50;
const RETRY_DELAY_MS = 200;
/** The node that reads for the others notices sooner, and tells them. */
const MAX_RETRY_DELAY_MS = 2_000;
/** A large change takes as long to arrive at all nodes. */
const OWN_READ_MS = 1_000;
const OWN_READ_PART = 0.2;
/** A node reads by itself when nobody has confirmed for this long. */
const UNCONFIRMED_MS = 1_500;
const UNCONFIRMED_PART = 0.3;
/**
 * The next node does so this much later: what one has read is confirmed for all
 * within two heartbeats.
 */
const READ_STEP_MS = 50;
/** All read by themselves after that, whatever their rank. */
const MAX_READ_STEPS_MS = 1_200;
const LOOK_INTERVAL_MS = 250;

/**
 * Guards against a configuration that goes back: an old version may come from
 * a peer that lags, or from a slow read. Versions only rise within a process.
 */
export class ConfigurationFollower {
  readonly table = new KeyedTable();
  private readonly follower: KeyedFollower;
  private readonly clock: SuspensionAwareClock;
  private current: ServingConfiguration | null = null;
  /** As of when others have confirmed the configuration in force. */
  private toldAsOfMs = -Infinity;
  /** The same of a version that this node does not have yet. */
  private toldOfNewer: ToldConfirmation | null = null;
  private periodic: Periodic | null = null;

  constructor(private readonly options: ConfigurationFollowerOptions) {
    const {random, platform} = options;
    this.clock = new SuspensionAwareClock(options.clock);
    this.follower = new KeyedFollower({
      ...{clock: this.clock, random, table: this.table},
      topic: platform.configurationTopic,
      waitMs: () => this.findWaitMs(),
      minIntervalMs: MIN_INTERVAL_MS,
      retryDelayMs: RETRY_DELAY_MS,
      maxRetryDelayMs: () =>
        options.isReader() ? RETRY_DELAY_MS : MAX_RETRY_DELAY_MS,
      onChanges: changes => this.take(changes),
      onLost: error => options.onLost(error),
      onRegained: () => options.onRegained(),
    });
  }

  get configuration(): ServingConfiguration | null {
    return this.current;
  }

  /** -1 while none is known. */
  get version(): number {
    return this.current?.version ?? -1;
  }

  /**
   * As of when this node knows that its configuration is the newest, on a clock
   * that counts suspension; see `nowMs`.
   *
   * Guards against a node that serves what was taken back long ago, since it was
   * cut off, frozen or suspended: it knows how old its knowledge is, from the
   * moment at which the read that confirmed it was begun.
   */
  get asOfMs(): number {
    return Math.max(this.follower.asOfMs, this.toldAsOfMs);
  }

  /** On the clock of `asOfMs`. */
  get nowMs(): number {
    return this.clock.monotonicMs();
  }

  get ageMs(): number {
    return this.nowMs - this.asOfMs;
  }

  /** By then a node that the store answers has read a change by itself. */
  get ownReadMs(): number {
    return this.limitByRevocation(OWN_READ_MS, OWN_READ_PART);
  }

  /**
   * Another node knows that a version was the newest; so whoever has that one,
   * or a later one, knows all that came before.
   *
   * @param asOfMs no later than its read, on the clock of this node's `nowMs`.
   */
  noteConfirmed(version: number, asOfMs: number): void {
    if (version > this.version) this.toldOfNewer = {version, asOfMs};
    else this.toldAsOfMs = Math.max(this.toldAsOfMs, asOfMs);
  }

  start(): void {
    this.follower.start();
    this.periodic = startPeriodic(this.options.clock, LOOK_INTERVAL_MS, () => {
      if (this.isUnconfirmed) this.follower.refresh();
    });
  }

  stop(): void {
    this.follower.stop();
    this.periodic?.stop();
  }

  /** Whether this node has to look by itself whether something is new. */
  private get isUnconfirmed(): boolean {
    const {isReader, findRank} = this.options;
    // Without a configuration nothing can be confirmed, and the reads go on.
    if (!this.current || isReader()) return false;
    const stepsMs = Math.min(MAX_READ_STEPS_MS, findRank() * READ_STEP_MS);
    return (
      this.ageMs >
      this.limitByRevocation(UNCONFIRMED_MS, UNCONFIRMED_PART) + stepsMs
    );
  }

  private findWaitMs(): number {
    if (this.options.isReader()) {
      return this.limitByRevocation(READER_WAIT_MS, READER_WAIT_PART);
    }
    return this.isUnconfirmed ? 0 : WAIT_MS;
  }

  private limitByRevocation(mostMs: number, partOfRevoke: number): number {
    const revokeMs = this.options.revokeMs() ?? Infinity;
    return Math.min(mostMs, partOfRevoke * revokeMs);
  }

  /** Takes records that a peer has passed on. */
  takeFromPeer(records: readonly KeyedRecord[]): void {
    this.take(this.table.applyRecords(Infinity, records, 0));
  }

  private take(changes: readonly KeyedChange[]): void {
    const {platform, onConfiguration, onFault} = this.options;
    const newest = changes.findLast(
      ({key, value}) => key === platform.configurationKey && value !== null,
    );
    if (!newest?.value) return;
    try {
      const decoded = platform.decodeConfiguration(newest.value);
      if (decoded.version <= this.version) return;
      this.current = decoded;
      const told = this.toldOfNewer;
      if (told) this.noteConfirmed(told.version, told.asOfMs);
      onConfiguration(decoded);
    } catch (thrown) {
      // The last good one stays in force.
      onFault(thrown);
    }
  }
}
