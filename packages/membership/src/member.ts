/** What nodes say about each other, and which of two statements is newer. */
import {
  type FailureDomain,
  type NodeIncarnation,
  type Region,
} from '@mimosatack/types';

/**
 * What is believed of a node: `suspect` did not answer and may still refute,
 * `leaving` shuts down gracefully, `gone` is dead or unreachable.
 */
export type MemberStatus = 'alive' | 'suspect' | 'leaving' | 'gone';

/** What a node says of itself; fixed for the life of its process. */
export interface MemberInfo {
  /** Unique among the nodes; a replaced node may keep it. */
  nodeName: string;
  incarnation: NodeIncarnation;
  /** When this life began, by the node's own wall clock. */
  startedAtMs: number;
  /** Where other nodes reach it, such as `10.0.0.5:7000`. */
  peerAddress: string;
  callerBaseUrl: string;
  adminBaseUrl: string;
  failureDomain: FailureDomain;
  region: Region;
  release: string;
}

/** The short form in which a member's status is spread. */
export interface MemberUpdate {
  nodeName: string;
  startedAtMs: number;
  /** Raised by the member itself alone, to refute what others say of it. */
  counter: number;
  status: MemberStatus;
}

/** The full form: what a node says of itself with its status. */
export interface MemberRecord extends MemberInfo {
  counter: number;
  status: MemberStatus;
}

/** A member as seen from this node. */
export interface Member extends MemberRecord {
  /** Since when this node has believed the status. */
  sinceMs: number;
}

const STATUS_RANK: Readonly<Record<MemberStatus, number>> = {
  alive: 0,
  suspect: 1,
  leaving: 2,
  gone: 3,
};

/**
 * Whether `first` is newer than `second`, by the start of the life, then the
 * counter, then the status. Only a member itself raises its counter, so a
 * late `alive` of others never outranks a `gone`.
 */
export function isNewer(first: MemberUpdate, second: MemberUpdate): boolean {
  const difference =
    first.startedAtMs - second.startedAtMs ||
    first.counter - second.counter ||
    STATUS_RANK[first.status] - STATUS_RANK[second.status];
  return difference > 0;
}

/** Cuts a record down to the form that is spread. */
export function toUpdate(record: MemberUpdate): MemberUpdate {
  const {nodeName, startedAtMs, counter, status} = record;
  return {nodeName, startedAtMs, counter, status};
}

/** Leaves out what only this node knows, as others are told. */
export function toRecord(member: Member): MemberRecord {
  const {sinceMs: _, ...record} = member;
  return record;
}
