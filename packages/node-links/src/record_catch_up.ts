/** Fetches missing records from other nodes. */
import {type Clock} from '@mimosatack/clock';
import {
  type NodeMessage,
  type RecordsMessage,
  type SharedTopic,
} from './messages.js';
import {type NodeStatus} from './node_status.js';

export interface RecordCatchUpOptions {
  clock: Clock;
  request: (
    address: string,
    message: NodeMessage,
    timeoutMs: number,
  ) => Promise<NodeMessage>;
  readStatus: () => NodeStatus;
  /** Time within which a node with access to the store reads a change itself. */
  ownReadMs: () => number;
  /** Whether this node currently reads the servers from the store. */
  readsServers: () => boolean;
  onRecords: (message: RecordsMessage, from: string) => void;
}

/** Allows for the largest configuration on a slow link. */
const FETCH_TIMEOUT_MS = 3_000;

/**
 * Keeps a node current that cannot read the store. Only one fetch per topic is in
 * flight: fetching a large configuration again with each heartbeat would saturate
 * the links of both nodes.
 */
export class RecordCatchUp {
  private readonly topicsInFlight = new Set<SharedTopic>();
  private behindSinceMs: number | null = null;

  constructor(private readonly options: RecordCatchUpOptions) {}

  /** Compares a node's versions with this node's and fetches what is missing. */
  compare(
    address: string,
    remote: Omit<NodeStatus, 'isServing' | 'uptimeMs' | 'reachesServers'>,
  ): void {
    const own = this.options.readStatus();
    if (this.lacksConfiguration(remote, own)) {
      void this.fetch(address, 'configuration');
    }
    const isBehind = remote.serversEndOffset > own.serversEndOffset;
    if (isBehind && !this.options.readsServers()) {
      void this.fetch(address, 'servers');
    }
    if (remote.nodesEndOffset > own.nodesEndOffset) {
      void this.fetch(address, 'nodes');
    }
  }

  private lacksConfiguration(
    remote: Pick<NodeStatus, 'configurationVersion'>,
    own: NodeStatus,
  ): boolean {
    const nowMs = this.options.clock.monotonicMs();
    if (remote.configurationVersion <= own.configurationVersion) {
      this.behindSinceMs = null;
      return false;
    }
    this.behindSinceMs ??= nowMs;
    // A node without any configuration can't serve and fetches at once.
    const hasNone = own.configurationVersion < 0;
    return hasNone || nowMs - this.behindSinceMs >= this.options.ownReadMs();
  }

  private async fetch(address: string, topic: SharedTopic): Promise<void> {
    const {request, readStatus, onRecords} = this.options;
    if (this.topicsInFlight.has(topic)) return;
    this.topicsInFlight.add(topic);
    const fromOffset = findFetchOffset(topic, readStatus());
    try {
      const reply = await request(
        address,
        {type: 'ask-records', topic, fromOffset},
        FETCH_TIMEOUT_MS,
      );
      if (reply.type === 'records') onRecords(reply, address);
    } catch {
      // Retried on the next heartbeat.
    } finally {
      this.topicsInFlight.delete(topic);
    }
  }
}

/** The configuration is a single record and is always fetched as a whole. */
function findFetchOffset(topic: SharedTopic, own: NodeStatus): number {
  if (topic === 'configuration') return 0;
  return topic === 'servers' ? own.serversEndOffset : own.nodesEndOffset;
}
