/** What a node is told of itself and of the bounds that it keeps. */
import {type RetryBound} from '@mimosatack/serve-requests';
import {type QuotaBounds} from '@mimosatack/team-quotas';
import {
  type FailureDomain,
  type Region,
  type SocketAddress,
} from '@mimosatack/types';

/** The settings of one node. */
export interface NodeSettings {
  nodeName: string;
  ip: string;
  failureDomain: FailureDomain;
  region: Region;
  /** Processor that this node may use, in cores. */
  cores: number;
  callerAddress: SocketAddress;
  readyAddress: SocketAddress;
  directoryAddress: SocketAddress;
  peerAddress: SocketAddress;
  /** Where metrics are read; null for nowhere. */
  metricsAddress: SocketAddress | null;
  /** Some other nodes; they may be out of date. */
  seeds: readonly SocketAddress[];
  /** A server that leaves gets nothing new after this time. */
  drainMs: number;
  /** How long a stop may take. */
  graceMs: number;
  /** Callers keep an answer of the directory no longer than this. */
  maxEntriesTtlMs: number;
  retryBound: RetryBound;
  /** A key that was taken away serves nobody after this time; null for no bound. */
  revokeMs: number | null;
  quotaBounds: QuotaBounds;
  /** Whether engines refuse orders with an old fencing token. */
  isFenced: boolean;
  /** Orders of two nodes to one engine are at least this far apart. */
  leaseMs: number;
  /** Shared by all nodes; their connections to each other are signed with it. */
  clusterSecret: string;
}
