/** Fetches from other nodes the records that this one lacks. */
import {
  type NodeMessage,
  type RecordsMessage,
  type SharedTopic,
} from './messages.js';
import {type NodeStatus} from './node_status.js';

/** What the task is built from. */
export interface RecordCatchUpOptions {
  request: (address: string, message: NodeMessage) => Promise<NodeMessage>;
  readStatus: () => NodeStatus;
  /** Whether this node reads the servers from the store itself. */
  readsServers: () => boolean;
  onRecords: (message: RecordsMessage, from: string) => void;
}

/**
 * Guards against a node that falls behind while the store turns it away:
 * whoever it speaks with has what it lacks.
 */
export class RecordCatchUp {
  constructor(private readonly options: RecordCatchUpOptions) {}

  /** Compares what a node says that it has with what this one has. */
  look(
    address: string,
    theirs: Omit<NodeStatus, 'isServing' | 'uptimeMs'>,
  ): void {
    const own = this.options.readStatus();
    if (theirs.configurationVersion > own.configurationVersion) {
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

  private async fetch(address: string, topic: SharedTopic): Promise<void> {
    const {request, readStatus, onRecords} = this.options;
    const fromOffset = findOwnEnd(topic, readStatus());
    try {
      const reply = await request(address, {
        ...{type: 'ask-records', topic, fromOffset},
      });
      if (reply.type === 'records') onRecords(reply, address);
    } catch {
      // The next heartbeat finds the same gap and asks again.
    }
  }
}

/** The configuration is one record, so that all of it is fetched. */
function findOwnEnd(topic: SharedTopic, own: NodeStatus): number {
  if (topic === 'configuration') return 0;
  return topic === 'servers' ? own.serversEndOffset : own.nodesEndOffset;
}
