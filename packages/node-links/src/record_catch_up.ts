/** Fetches from other nodes the records that this one lacks. */
import {type Clock} from '@mimosatack/clock';
import {
  type NodeMessage,
  type RecordsMessage,
  type SharedTopic,
} from './messages.js';
import {type NodeStatus} from './node_status.js';

/** What the task is built from. */
export interface RecordCatchUpOptions {
  clock: Clock;
  request: (
    address: string,
    message: NodeMessage,
    timeoutMs: number,
  ) => Promise<NodeMessage>;
  readStatus: () => NodeStatus;
  /** By then a node that the store answers has read a change by itself. */
  ownReadMs: () => number;
  /** Whether this node reads the servers from the store itself. */
  readsServers: () => boolean;
  onRecords: (message: RecordsMessage, from: string) => void;
}

/** The largest configuration takes as long on a slow link. */
const FETCH_TIMEOUT_MS = 3_000;

/**
 * Guards against a node that falls behind while the store turns it away:
 * whoever it speaks with has what it lacks.
 *
 * One fetch of a topic goes on at a time. A large configuration fetched anew with
 * each heartbeat, while the last fetch is on its way, fills the links of both nodes
 * and never arrives.
 */
export class RecordCatchUp {
  private readonly fetching = new Set<SharedTopic>();
  private behindSinceMs: number | null = null;

  constructor(private readonly options: RecordCatchUpOptions) {}

  /** Compares what a node says that it has with what this one has. */
  look(
    address: string,
    theirs: Omit<NodeStatus, 'isServing' | 'uptimeMs'>,
  ): void {
    const own = this.options.readStatus();
    if (this.lacksConfiguration(theirs, own)) {
      void this.fetch(address, 'configuration');
    }
    const isBehind = theirs.serversEndOffset > own.serversEndOffset;
    if (isBehind && !this.options.readsServers()) {
      void this.fetch(address, 'servers');
    }
    if (theirs.nodesEndOffset > own.nodesEndOffset) {
      void this.fetch(address, 'nodes');
    }
  }

  private lacksConfiguration(
    theirs: Pick<NodeStatus, 'configurationVersion'>,
    own: NodeStatus,
  ): boolean {
    const nowMs = this.options.clock.monotonicMs();
    if (theirs.configurationVersion <= own.configurationVersion) {
      this.behindSinceMs = null;
      return false;
    }
    this.behindSinceMs ??= nowMs;
    // One that knows nothing yet has nothing to serve by.
    const isNew = own.configurationVersion < 0;
    return isNew || nowMs - this.behindSinceMs >= this.options.ownReadMs();
  }

  private async fetch(address: string, topic: SharedTopic): Promise<void> {
    const {request, readStatus, onRecords} = this.options;
    if (this.fetching.has(topic)) return;
    this.fetching.add(topic);
    const fromOffset = findOwnEnd(topic, readStatus());
    try {
      const reply = await request(
        address,
        {type: 'ask-records', topic, fromOffset},
        FETCH_TIMEOUT_MS,
      );
      if (reply.type === 'records') onRecords(reply, address);
    } catch {
      // The next heartbeat finds the same gap and asks again.
    } finally {
      this.fetching.delete(topic);
    }
  }
}

/** The configuration is one record, so that all of it is fetched. */
function findOwnEnd(topic: SharedTopic, own: NodeStatus): number {
  if (topic === 'configuration') return 0;
  return topic === 'servers' ? own.serversEndOffset : own.nodesEndOffset;
}
