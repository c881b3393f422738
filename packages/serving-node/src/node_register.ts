/** The nodes of the system, as they have registered in the store. */
import {type Clock} from '@mimosatack/clock';
import {type TypedError, toTypedError} from '@mimosatack/errors';
import {
  type KeyedChange,
  KeyedFollower,
  type KeyedRecord,
  KeyedTable,
  type KeyedTopic,
} from '@mimosatack/keyed-store';
import {type KnownNode, decodeNode, encodeNode} from '@mimosatack/node-links';
import {type RandomSource} from '@mimosatack/random';
import {CONTAINED_KEY} from './containment_task.js';

/** What the register is built from. */
export interface NodeRegisterOptions {
  clock: Clock;
  random: RandomSource;
  topic: KeyedTopic;
  self: KnownNode;
  /** Whether this node reads for the others too. */
  isReader: () => boolean;
  /** Whether another node passes on what it reads. */
  isTold: () => boolean;
  /** Told of records that came from the store, to pass on. */
  onRead: (fromOffset: number) => void;
  /** Told of the record that is kept beside those of the nodes. */
  onContained: (value: Uint8Array | null) => void;
  /** A lost node was taken off the list. */
  onStruck: (nodeName: string) => void;
  onLost: (error: TypedError) => void;
  onRegained: () => void;
}

const WAIT_MS = 20_000;
/**
 * Hundreds of nodes that start together are read of in a few batches. A node that
 * has registered and is restarted while the store goes away is known to nobody if
 * it has not been read of yet, so that this is short.
 */
const MIN_INTERVAL_MS = 100;
const RETRY_DELAY_MS = 300;
const MAX_RETRY_DELAY_MS = 2_400;
/** The reader passes a new node on within its interval and a heartbeat. */
const MISSED_MS = 1_000;

/**
 * Registers this node and follows the others.
 *
 * One node reads for all. If each did, every start and stop of one would wake a
 * read of each other node. With 40 nodes that start together, 565 reads of the
 * first 12 s became 96 to 133 (whole processes before a stand-in of the store).
 */
export class NodeRegister {
  private readonly follower: KeyedFollower;
  private readonly nodes = new Map<string, KnownNode>();
  readonly table = new KeyedTable();
  private missedSinceMs = Infinity;
  /** The next read is due though another node passes records on. */
  private isMissing = false;
  private isStopped = false;
  private isStriking = false;

  constructor(private readonly options: NodeRegisterOptions) {
    const {clock, random, topic, self} = options;
    this.nodes.set(self.nodeName, self);
    this.follower = new KeyedFollower({
      ...{clock, random, topic, table: this.table},
      waitMs: () => WAIT_MS,
      minIntervalMs: MIN_INTERVAL_MS,
      ...{retryDelayMs: RETRY_DELAY_MS},
      maxRetryDelayMs: () => MAX_RETRY_DELAY_MS,
      isNeeded: () => this.isReadDue(),
      onChanges: changes => this.takeRead(changes),
      onLost: error => options.onLost(error),
      onRegained: () => options.onRegained(),
    });
  }

  list(): KnownNode[] {
    return [...this.nodes.values()];
  }

  start(): void {
    this.follower.start();
    void this.register();
  }

  /** Takes this node off the list, so that nobody looks for it. */
  async leave(): Promise<void> {
    this.isStopped = true;
    const {topic, self, onLost} = this.options;
    try {
      await topic.append([{key: self.nodeName, value: null}]);
    } catch (thrown) {
      // The record stays; others find that nothing answers there.
      onLost(toTypedError(thrown));
    }
  }

  /** Takes nodes that a peer knows; what this node has read itself stands. */
  noteTold(nodes: readonly KnownNode[]): void {
    nodes
      .filter(({nodeName}) => !this.nodes.has(nodeName))
      .forEach(node => this.nodes.set(node.nodeName, node));
  }

  /**
   * Takes a lost node off the list, unless anything has changed there since it
   * was read: the node may just have registered again.
   */
  async strike({nodeName}: KnownNode): Promise<void> {
    if (this.isStriking || !this.follower.isReachable) return;
    this.isStriking = true;
    try {
      const {status} = await this.options.topic.append(
        [{key: nodeName, value: null}],
        {atOffset: this.table.endOffset},
      );
      if (status === 'appended') this.options.onStruck(nodeName);
    } catch (thrown) {
      // It is still silent at the next look, and struck off then.
      this.options.onLost(toTypedError(thrown));
    } finally {
      this.isStriking = false;
    }
  }

  /** Takes records that a peer has passed on. */
  takeFromPeer(
    fromOffset: number,
    records: readonly KeyedRecord[],
    endOffset: number,
  ): void {
    this.take(this.table.applyRecords(fromOffset, records, endOffset));
  }

  /** Reads by itself when others name nodes for long that it does not know. */
  noteNames(nodeNames: readonly string[]): void {
    const isMissed = nodeNames.some(name => !this.nodes.has(name));
    const nowMs = this.options.clock.monotonicMs();
    this.missedSinceMs = isMissed
      ? Math.min(this.missedSinceMs, nowMs)
      : Infinity;
    if (nowMs - this.missedSinceMs >= MISSED_MS) this.readNow(nowMs);
  }

  private readNow(nowMs: number): void {
    this.missedSinceMs = nowMs;
    this.isMissing = true;
    this.follower.refresh();
  }

  stop(): void {
    this.follower.stop();
  }

  private isReadDue(): boolean {
    const {isReader, isTold} = this.options;
    const isDue = this.isMissing || isReader() || !isTold();
    this.isMissing = false;
    return isDue;
  }

  private takeRead(changes: readonly KeyedChange[]): void {
    const first = Math.min(...changes.map(({offset}) => offset));
    this.take(changes);
    this.options.onRead(first);
  }

  private async register(retryDelayMs = RETRY_DELAY_MS): Promise<void> {
    const {topic, self, clock, onLost} = this.options;
    if (this.isStopped) return;
    try {
      await topic.append([{key: self.nodeName, value: encodeNode(self)}]);
    } catch (thrown) {
      onLost(toTypedError(thrown));
      const laterMs = Math.min(2 * retryDelayMs, MAX_RETRY_DELAY_MS);
      clock.setTimer(retryDelayMs, () => void this.register(laterMs));
    }
  }

  private take(changes: readonly KeyedChange[]): void {
    const {self, onContained} = this.options;
    changes
      .filter(({key}) => key === CONTAINED_KEY)
      .forEach(({value}) => onContained(value));
    const isStruck = changes.some(
      ({key, value}) => key === self.nodeName && value === null,
    );
    // It stood still for long, and the others took it for lost.
    if (isStruck) void this.register();
    changes
      .filter(({key}) => key !== self.nodeName && key !== CONTAINED_KEY)
      .forEach(({key, value}) => {
        const node = value && decodeNode(value);
        if (node) this.nodes.set(key, node);
        else this.nodes.delete(key);
      });
  }
}
