/** Dependencies and callbacks of `NodeLinks`. */
import {type Clock} from '@mimosatack/clock';
import {
  type CrashExchange,
  type SuspectRuns,
} from '@mimosatack/contain-requests';
import {type TypedError} from '@mimosatack/errors';
import {type DutyHolder, type LastOrders} from '@mimosatack/hold-duty';
import {type RelayDecision} from '@mimosatack/peer-transport';
import {type RandomSource} from '@mimosatack/random';
import {
  type FromHolderMessage,
  type ToHolderMessage,
} from '@mimosatack/schedule-service';
import {type LimitExchange} from '@mimosatack/share-limits';
import {type QuotaReply, type QuotaReport} from '@mimosatack/team-quotas';
import {type StreamOrigins} from '@mimosatack/track-streams';
import {type NodeIncarnation, type SocketAddress} from '@mimosatack/types';
import {type RegisteredNode} from './registered_node.js';
import {type RecordsMessage, type SharedTopic} from './messages.js';
import {type NodeStatus} from './node_status.js';

/** A node that can take over a duty. */
export interface Successor {
  nodeName: string;
  incarnation: string;
  address: string;
}

/** Exchanges the usage of team quotas with other nodes over heartbeats. */
export interface QuotaExchange {
  makeReport(): QuotaReport | null;
  applyReply(reply: QuotaReply): void;
  answerReport(
    node: NodeIncarnation,
    report: QuotaReport | null,
  ): QuotaReply | null;
}

/** The last time at which this node's configuration was known to be current. */
export interface ConfigurationConfirmation {
  /** Current time of a monotonic clock that includes host suspension. */
  readonly nowMs: number;
  /** Time of the last confirmation, on the clock of `nowMs`; -Infinity if none. */
  readonly asOfMs: number;
  /** Time within which a node with access to the store reads a change itself. */
  readonly ownReadMs: number;
  /** Records that another node confirmed `version` as current at `asOfMs`. */
  noteConfirmed(version: number, asOfMs: number, nodeName: string): void;
}

export interface NodeLinksOptions {
  clock: Clock;
  random: RandomSource;
  self: RegisteredNode;
  listenAddress: SocketAddress;
  clusterSecret: string;
  /** The current duty holder, if known. */
  holder: () => DutyHolder | null;
  /** Lists all registered nodes. */
  listNodes: () => readonly RegisteredNode[];
  readStatus: () => NodeStatus;
  /** Exchanges reports of servers that crashed while serving a request. */
  crashes: CrashExchange;
  /** Grants leases on suspected requests while this node is the holder. */
  suspects: Pick<SuspectRuns, 'handleAsk' | 'handleRelease'>;
  /** Keeps copies of the origins of streams that other nodes begin. */
  streams: Pick<StreamOrigins, 'handleBegun' | 'handleAsk'>;
  /** Decides whether this node relays a connection of another node to a server. */
  onRelay: (target: string) => Promise<RelayDecision>;
  quotas: QuotaExchange;
  /** Exchanges the limits that servers name. */
  limits: LimitExchange;
  confirmation: ConfigurationConfirmation;
  /** Time since this node last read the servers from the store. */
  serversAgeMs: () => number;
  readRecords: (topic: SharedTopic, fromOffset: number) => RecordsMessage;
  onRecords: (message: RecordsMessage, from: string) => void;
  onHolder: (holder: DutyHolder) => void;
  /** Called with the nodes that the duty holder has introduced. */
  onNodesIntroduced: (nodes: readonly RegisteredNode[]) => void;
  /** Called when a registered node has been silent for too long. */
  onNodeLost: (node: RegisteredNode) => void;
  /** Called with the last orders of a holder that has stopped scheduling. */
  onLastOrders: (lastOrders: LastOrders) => void;
  /** Called with a message for this node's scheduler. */
  onToHolder: (from: string, message: ToHolderMessage) => void;
  onFromHolder: (message: FromHolderMessage) => void;
  /** Services without models whose places this node assigns as the holder. */
  listCoordinated: () => readonly string[];
  onServingNodes: (nodeNames: readonly string[]) => void;
  /** Called when contact with the duty holder is established or lost. */
  onHolderContactChange: (isAlive: boolean) => void;
  onFault: (error: TypedError) => void;
}
