/** Keeps the newest configuration, whoever brings it. */
import {type Clock} from '@mimosatack/clock';
import {type TypedError} from '@mimosatack/errors';
import {
  type KeyedChange,
  KeyedFollower,
  type KeyedRecord,
  KeyedTable,
} from '@mimosatack/keyed-store';
import {type RandomSource} from '@mimosatack/random';
import {type ServingConfiguration} from '@mimosatack/types';
import {type PlatformAdapter} from './platform_adapter.js';

/** What the follower is built from. */
export interface ConfigurationFollowerOptions {
  clock: Clock;
  random: RandomSource;
  platform: PlatformAdapter;
  /** Whether this node has to notice a change for the others too. */
  isReader: () => boolean;
  onConfiguration: (configuration: ServingConfiguration) => void;
  onFault: (error: unknown) => void;
  onLost: (error: TypedError) => void;
  onRegained: () => void;
}

/** A read waits for the next change for this long. */
const WAIT_MS = 20_000;
/**
 * Connections may all go silent at once without a reset. One node reads so
 * often that it notices within the time in which a change has to be in force;
 * the others learn of it from that node.
 */
const READER_WAIT_MS = 900;
const MIN_INTERVAL_MS = 50;
const RETRY_DELAY_MS = 200;
/** The node that reads for the others notices sooner, and tells them. */
const MAX_RETRY_DELAY_MS = 2_000;

/**
 * Guards against a configuration that goes back: an old version may come from
 * a peer that lags, or from a slow read. Versions only rise within a process.
 */
export class ConfigurationFollower {
  readonly table = new KeyedTable();
  private readonly follower: KeyedFollower;
  private current: ServingConfiguration | null = null;

  constructor(private readonly options: ConfigurationFollowerOptions) {
    const {clock, random, platform} = options;
    this.follower = new KeyedFollower({
      ...{clock, random, table: this.table},
      topic: platform.configurationTopic,
      waitMs: () => (options.isReader() ? READER_WAIT_MS : WAIT_MS),
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

  start(): void {
    this.follower.start();
  }

  stop(): void {
    this.follower.stop();
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
      onConfiguration(decoded);
    } catch (thrown) {
      // The last good one stays in force.
      onFault(thrown);
    }
  }
}
