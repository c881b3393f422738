/** What the links between nodes are built from. */
import {type Clock} from '@mimosatack/clock';
import {type CrashExchange} from '@mimosatack/contain-requests';
import {type TypedError} from '@mimosatack/errors';
import {type DutyHolder, type LastOrders} from '@mimosatack/hold-duty';
import {type RandomSource} from '@mimosatack/random';
import {type FromHolder, type ToHolder} from '@mimosatack/schedule-service';
import {type QuotaReply, type QuotaReport} from '@mimosatack/team-quotas';
import {type NodeIncarnation, type SocketAddress} from '@mimosatack/types';
import {type KnownNode} from './known_node.js';
import {type RecordsMessage, type SharedTopic} from './messages.js';
import {type NodeStatus} from './node_status.js';

/** A node that can take over a duty. */
export interface Successor {
  nodeName: string;
  incarnation: string;
  address: string;
}

/** What nodes tell each other of teams' quotas. */
export interface QuotaExchange {
  makeReport(): QuotaReport | null;
  takeReply(reply: QuotaReply): void;
  answer(node: NodeIncarnation, report: QuotaReport | null): QuotaReply | null;
}

/** As of when this node knows that its configuration is the newest. */
export interface ConfigurationConfirmation {
  /** A clock that counts suspension. */
  readonly nowMs: number;
  /** On the clock of `nowMs`; minus infinity for never. */
  readonly asOfMs: number;
  /** By then a node that the store answers has read a change by itself. */
  readonly ownReadMs: number;
  /** Another node knows that a version was the newest. */
  noteConfirmed(version: number, asOfMs: number): void;
}

/** What the links are built from. */
export interface NodeLinksOptions {
  clock: Clock;
  random: RandomSource;
  self: KnownNode;
  listenAddress: SocketAddress;
  clusterSecret: string;
  holder: () => DutyHolder | null;
  /** All registered nodes. */
  listNodes: () => readonly KnownNode[];
  readStatus: () => NodeStatus;
  /** Passes on which servers ended under which requests. */
  crashes: CrashExchange;
  quotas: QuotaExchange;
  confirmation: ConfigurationConfirmation;
  /** How long ago this node read the servers from the store. */
  serversAgeMs: () => number;
  readRecords: (topic: SharedTopic, fromOffset: number) => RecordsMessage;
  onRecords: (message: RecordsMessage, from: string) => void;
  onHolder: (holder: DutyHolder) => void;
  /** Other nodes, as the holder knows them. */
  onNodes: (nodes: readonly KnownNode[]) => void;
  /** A registered node is not heard for so long that it has to be lost. */
  onNodeLost: (node: KnownNode) => void;
  /** A holder orders no more. */
  onLastOrders: (told: LastOrders) => void;
  /** A message for the scheduler of this node. */
  onToHolder: (from: string, message: ToHolder) => void;
  onFromHolder: (message: FromHolder) => void;
  onServingNodes: (nodeNames: readonly string[]) => void;
  /** The holder is heard again, or no longer. */
  onContact: (isAlive: boolean) => void;
  onFault: (error: TypedError) => void;
}
