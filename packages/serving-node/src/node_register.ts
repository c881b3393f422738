/** The nodes of the system, as they have registered in the store. */
import {type Clock} from '@mimosatack/clock';
import {type TypedError, toTypedError} from '@mimosatack/errors';
import {
  type KeyedChange,
  KeyedFollower,
  KeyedTable,
  type KeyedTopic,
} from '@mimosatack/keyed-store';
import {type KnownNode, decodeNode, encodeNode} from '@mimosatack/node-links';
import {type RandomSource} from '@mimosatack/random';

/** What the register is built from. */
export interface NodeRegisterOptions {
  clock: Clock;
  random: RandomSource;
  topic: KeyedTopic;
  self: KnownNode;
  onLost: (error: TypedError) => void;
  onRegained: () => void;
}

const WAIT_MS = 20_000;
const MIN_INTERVAL_MS = 100;
const RETRY_DELAY_MS = 300;

/** Registers this node and follows the others. */
export class NodeRegister {
  private readonly follower: KeyedFollower;
  private readonly nodes = new Map<string, KnownNode>();
  private isStopped = false;

  constructor(private readonly options: NodeRegisterOptions) {
    const {clock, random, topic, self} = options;
    this.nodes.set(self.nodeName, self);
    this.follower = new KeyedFollower({
      ...{clock, random, topic, table: new KeyedTable()},
      waitMs: () => WAIT_MS,
      minIntervalMs: MIN_INTERVAL_MS,
      retryDelayMs: RETRY_DELAY_MS,
      onChanges: changes => this.take(changes),
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

  /** Reads at once, since something was missed. */
  refresh(): void {
    this.follower.refresh();
  }

  stop(): void {
    this.follower.stop();
  }

  private async register(): Promise<void> {
    const {topic, self, clock, onLost} = this.options;
    if (this.isStopped) return;
    try {
      await topic.append([{key: self.nodeName, value: encodeNode(self)}]);
    } catch (thrown) {
      onLost(toTypedError(thrown));
      clock.setTimer(RETRY_DELAY_MS, () => void this.register());
    }
  }

  private take(changes: readonly KeyedChange[]): void {
    const {self} = this.options;
    changes
      .filter(({key}) => key !== self.nodeName)
      .forEach(({key, value}) => {
        const node = value && decodeNode(value);
        if (node) this.nodes.set(key, node);
        else this.nodes.delete(key);
      });
  }
}
