/** The settings of a serving node. */
import {type RetryLimit} from '@mimosatack/serve-requests';
import {type QuotaBounds} from '@mimosatack/team-quotas';
import {
  type FailureDomain,
  type Region,
  type SocketAddress,
  type TeamName,
} from '@mimosatack/types';

export interface NodeSettings {
  nodeName: string;
  ip: string;
  failureDomain: FailureDomain;
  region: Region;
  /** CPU cores that this node may use. */
  cores: number;
  /** Memory of the host. */
  memoryMb: number;
  callerAddress: SocketAddress;
  readyAddress: SocketAddress;
  directoryAddress: SocketAddress;
  peerAddress: SocketAddress;
  /** Address that serves metrics; null to serve none. */
  metricsAddress: SocketAddress | null;
  /** Addresses of some other nodes; may be out of date. */
  seeds: readonly SocketAddress[];
  /** A draining server gets no new requests after this time. */
  drainMs: number;
  /** Longest time that a shutdown may take. */
  graceMs: number;
  /** Longest time that callers may cache a response of the directory. */
  maxEntriesTtlMs: number;
  retryBound: RetryLimit;
  /** Longest time that a revoked key stays valid; null for no limit. */
  revokeMs: number | null;
  /** Time within which a configuration has to be in force at all nodes. */
  configurationApplyMs: number;
  quotaBounds: QuotaBounds;
  /** Shares of teams in scarce capacity; 1 for teams that are not listed. */
  teamWeights: ReadonlyMap<TeamName, number>;
  /**
   * How much later a server of the own failure domain may be than one of another; for
   * services whose servers report slowdowns.
   */
  crossDomainCostMs: number;
  /** Whether the whole system starts for the first time. */
  isFirstStart: boolean;
  /** Whether engines reject orders with an outdated fencing token. */
  isFenced: boolean;
  /** Shortest time between orders from two nodes to one engine. */
  leaseMs: number;
  /** Signs the connections between nodes; the same on all nodes. */
  clusterSecret: string;
}
