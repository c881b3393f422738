/** Member records and updates, and the precedence between them. */
import {
  type FailureDomain,
  type NodeIncarnation,
  type Region,
} from '@mimosatack/types';

/**
 * `suspect`: did not answer probes and may still refute the suspicion;
 * `leaving`: shutting down gracefully; `gone`: dead or unreachable.
 */
export type MemberStatus = 'alive' | 'suspect' | 'leaving' | 'gone';

/** A node's description of itself, constant while its process runs. */
export interface MemberInfo {
  /** Unique among the nodes; a replaced node may keep it. */
  nodeName: string;
  incarnation: NodeIncarnation;
  /** When this process started, by the node's own wall clock. */
  startedAtMs: number;
  /** The address for peer connections, such as `10.0.0.5:7000`. */
  peerAddress: string;
  callerBaseUrl: string;
  adminBaseUrl: string;
  failureDomain: FailureDomain;
  region: Region;
  release: string;
}

/** The compact form of a member's status that is gossiped. */
export interface MemberUpdate {
  nodeName: string;
  startedAtMs: number;
  /** Incremented only by the member itself, to refute reports about it. */
  counter: number;
  status: MemberStatus;
}

/** A member's full description with its status. */
export interface MemberRecord extends MemberInfo {
  counter: number;
  status: MemberStatus;
}

/** A member in this node's view. */
export interface Member extends MemberRecord {
  /** When the member got its current status in this node's view. */
  statusSinceMs: number;
}

const STATUS_RANK: Readonly<Record<MemberStatus, number>> = {
  alive: 0,
  suspect: 1,
  leaving: 2,
  gone: 3,
};

/**
 * Compares by process start, then counter, then status. Only a member itself
 * increments its counter, so a delayed `alive` never overrides a `gone`.
 */
export function isNewer(first: MemberUpdate, second: MemberUpdate): boolean {
  const difference =
    first.startedAtMs - second.startedAtMs ||
    first.counter - second.counter ||
    STATUS_RANK[first.status] - STATUS_RANK[second.status];
  return difference > 0;
}

export function toUpdate(record: MemberUpdate): MemberUpdate {
  const {nodeName, startedAtMs, counter, status} = record;
  return {nodeName, startedAtMs, counter, status};
}

/** Drops the fields that are local to this node. */
export function toRecord(member: Member): MemberRecord {
  const {statusSinceMs: _, ...record} = member;
  return record;
}
