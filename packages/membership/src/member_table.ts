/** The known members, including gone ones until their retention ends. */
import {
  type Member,
  type MemberRecord,
  type MemberStatus,
  type MemberUpdate,
  isNewer,
  toRecord,
  toUpdate,
} from './member.js';

/** `unknown`: the member or its incarnation is not in the table. */
export type ApplyOutcome = 'applied' | 'stale' | 'unknown';

export interface TableLimits {
  suspicionTimeoutMs(nodeCount: number): number;
  goneRetentionMs: number;
  maxGoneCount: number;
}

interface Entry {
  member: Member;
  /** Whether the member left gracefully; such members are not probed again. */
  leftGracefully: boolean;
  suspectUntilMs: number;
  /** When the platform's `leaving` hint expires; 0 if there is none. */
  hintedUntilMs: number;
}

/** Stores every member's state and applies updates by precedence. */
export class MemberTable {
  /** Increases with every visible change. */
  version = 0;
  private readonly entries = new Map<string, Entry>();
  private presentCount = 0;

  constructor(private readonly limits: TableLimits) {}

  /** The number of members that are not gone. */
  get size(): number {
    return this.presentCount;
  }

  get(nodeName: string): Member | undefined {
    return this.entries.get(nodeName)?.member;
  }

  /** Returns a gone member only if no other has the address. */
  findByAddress(peerAddress: string): Member | undefined {
    const found = [...this.entries.values()]
      .map(({member}) => member)
      .filter(member => member.peerAddress === peerAddress);
    return found.find(member => member.status !== 'gone') ?? found[0];
  }

  /** All members, with the platform's `leaving` hints applied. */
  list(): Member[] {
    return [...this.entries.values()].map(applyLeavingHint);
  }

  listPresent(): Member[] {
    return this.list().filter(member => member.status !== 'gone');
  }

  /** All members in the gossiped form, without the platform's hints. */
  listUpdates(): MemberUpdate[] {
    return [...this.entries.values()].map(({member}) => toUpdate(member));
  }

  listRecords(): MemberRecord[] {
    return [...this.entries.values()].map(({member}) => toRecord(member));
  }

  /** Gone members that did not leave and may still be running. */
  listUnreachable(): Member[] {
    const present = new Set(
      this.listPresent().map(member => member.peerAddress),
    );
    return [...this.entries.values()]
      .filter(
        ({member, leftGracefully}) =>
          member.status === 'gone' && !leftGracefully,
      )
      .map(({member}) => member)
      .filter(member => !present.has(member.peerAddress));
  }

  /** Applies an update if it is newer than the stored state. */
  applyUpdate(update: MemberUpdate, nowMs: number): ApplyOutcome {
    const entry = this.entries.get(update.nodeName);
    if (!entry || update.startedAtMs > entry.member.startedAtMs) {
      return update.status === 'gone' ? 'stale' : 'unknown';
    }
    if (!isNewer(update, entry.member)) return 'stale';
    this.store({...entry.member, ...update}, nowMs);
    return 'applied';
  }

  /** Applies a full record if it is newer than the stored state. */
  applyRecord(record: MemberRecord, nowMs: number): ApplyOutcome {
    const entry = this.entries.get(record.nodeName);
    if (entry && !isNewer(record, entry.member)) return 'stale';
    this.store(record, nowMs);
    return 'applied';
  }

  /** Sets a status detected by this node, regardless of precedence. */
  setStatus(nodeName: string, status: MemberStatus, nowMs: number): void {
    const member = this.get(nodeName);
    if (member) this.store({...member, status}, nowMs);
  }

  /** Lists the member as leaving until `untilMs`, in this node's view only. */
  hintLeaving(nodeName: string, untilMs: number): void {
    const entry = this.entries.get(nodeName);
    if (!entry || entry.member.status === 'gone') return;
    if (entry.hintedUntilMs === 0) this.version++;
    entry.hintedUntilMs = untilMs;
  }

  /** Suspects whose suspicion timeout has expired. */
  listExpiredSuspects(nowMs: number): Member[] {
    return [...this.entries.values()]
      .filter(({member}) => member.status === 'suspect')
      .filter(({suspectUntilMs}) => suspectUntilMs <= nowMs)
      .map(({member}) => member);
  }

  extendSuspicions(byMs: number): void {
    this.entries.forEach(entry => {
      entry.suspectUntilMs += byMs;
    });
  }

  /** Drops expired hints, and gone members over the age or count limit. */
  expire(nowMs: number): void {
    const entries = [...this.entries.values()];
    entries
      .filter(entry => entry.hintedUntilMs > 0 && entry.hintedUntilMs <= nowMs)
      .forEach(entry => {
        entry.hintedUntilMs = 0;
        this.version++;
      });
    const gone = entries
      .map(({member}) => member)
      .filter(member => member.status === 'gone')
      .sort((first, second) => second.statusSinceMs - first.statusSinceMs);
    gone
      .filter(
        (member, index) =>
          index >= this.limits.maxGoneCount ||
          member.statusSinceMs + this.limits.goneRetentionMs <= nowMs,
      )
      .forEach(member => this.remove(member.nodeName));
  }

  private remove(nodeName: string): void {
    this.entries.delete(nodeName);
    this.version++;
  }

  private store(record: MemberRecord, nowMs: number): void {
    const before = this.entries.get(record.nodeName);
    const isSameIncarnation = before?.member.startedAtMs === record.startedAtMs;
    const isSameStatus =
      isSameIncarnation && before.member.status === record.status;
    const sinceMs = isSameStatus ? before.member.statusSinceMs : nowMs;
    this.entries.set(record.nodeName, {
      member: {...record, statusSinceMs: sinceMs},
      leftGracefully:
        record.status === 'leaving' ||
        (record.status === 'gone' &&
          isSameIncarnation &&
          before.leftGracefully),
      suspectUntilMs: nowMs + this.limits.suspicionTimeoutMs(this.presentCount),
      hintedUntilMs: isSameIncarnation ? before.hintedUntilMs : 0,
    });
    this.presentCount +=
      countPresent(record.status) - countPresent(before?.member.status);
    if (!isSameStatus) this.version++;
  }
}

function countPresent(status: MemberStatus | undefined): number {
  return status === undefined || status === 'gone' ? 0 : 1;
}

function applyLeavingHint(entry: Entry): Member {
  const {member, hintedUntilMs} = entry;
  const isHinted =
    hintedUntilMs > 0 &&
    (member.status === 'alive' || member.status === 'suspect');
  return isHinted ? {...member, status: 'leaving'} : member;
}
