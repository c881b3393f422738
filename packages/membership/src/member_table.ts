/** The members this node knows, gone ones included for a while. */
import {
  type Member,
  type MemberRecord,
  type MemberStatus,
  type MemberUpdate,
  isNewer,
  toRecord,
  toUpdate,
} from './member.js';

/** What became of a statement about a member. */
export type ApplyOutcome = 'news' | 'old' | 'unknown';

/** How long things are kept, and when a suspect is gone. */
export interface TableLimits {
  suspicionMs(nodeCount: number): number;
  goneKeepMs: number;
  maxGoneCount: number;
}

interface Entry {
  member: Member;
  /** Whether it went by itself, so that nobody looks for it again. */
  wasLeaving: boolean;
  suspectUntilMs: number;
  /** Until when the platform's word that it leaves holds. */
  hintedUntilMs: number;
}

/** The state of every member; decides which statements are believed. */
export class MemberTable {
  /** Grows with every change that a reader could see. */
  version = 0;
  private readonly entries = new Map<string, Entry>();
  private presentCount = 0;

  constructor(private readonly limits: TableLimits) {}

  /** How many members are not gone. */
  get size(): number {
    return this.presentCount;
  }

  get(nodeName: string): Member | undefined {
    return this.entries.get(nodeName)?.member;
  }

  /** The member at an address, a gone one only if there is no other. */
  findByAddress(peerAddress: string): Member | undefined {
    const found = [...this.entries.values()]
      .map(({member}) => member)
      .filter(member => member.peerAddress === peerAddress);
    return found.find(member => member.status !== 'gone') ?? found[0];
  }

  /** All members, with the platform's word on leaving ones worked in. */
  list(): Member[] {
    return [...this.entries.values()].map(toVisibleMember);
  }

  listPresent(): Member[] {
    return this.list().filter(member => member.status !== 'gone');
  }

  /** All members as they are told to others. */
  listUpdates(): MemberUpdate[] {
    return [...this.entries.values()].map(({member}) => toUpdate(member));
  }

  /** All members in the full form. */
  listRecords(): MemberRecord[] {
    return [...this.entries.values()].map(({member}) => toRecord(member));
  }

  /** Gone members that may only be out of reach. */
  listLost(): Member[] {
    const present = new Set(
      this.listPresent().map(member => member.peerAddress),
    );
    return [...this.entries.values()]
      .filter(({member, wasLeaving}) => member.status === 'gone' && !wasLeaving)
      .map(({member}) => member)
      .filter(member => !present.has(member.peerAddress));
  }

  /** Believes a short statement if it is newer than what is known. */
  applyUpdate(update: MemberUpdate, nowMs: number): ApplyOutcome {
    const entry = this.entries.get(update.nodeName);
    if (!entry || update.startedAtMs > entry.member.startedAtMs) {
      return update.status === 'gone' ? 'old' : 'unknown';
    }
    if (!isNewer(update, entry.member)) return 'old';
    this.store({...entry.member, ...update}, nowMs);
    return 'news';
  }

  /** Believes a full statement if it is newer than what is known. */
  applyRecord(record: MemberRecord, nowMs: number): ApplyOutcome {
    const entry = this.entries.get(record.nodeName);
    if (entry && !isNewer(record, entry.member)) return 'old';
    this.store(record, nowMs);
    return 'news';
  }

  /** Changes the status of a member by this node's own finding. */
  setStatus(nodeName: string, status: MemberStatus, nowMs: number): void {
    const member = this.get(nodeName);
    if (member) this.store({...member, status}, nowMs);
  }

  /** Takes the platform's word that a member leaves, for a while. */
  hintLeaving(nodeName: string, untilMs: number): void {
    const entry = this.entries.get(nodeName);
    if (!entry || entry.member.status === 'gone') return;
    if (entry.hintedUntilMs === 0) this.version++;
    entry.hintedUntilMs = untilMs;
  }

  /** Suspects whose time to refute is over. */
  listOverdue(nowMs: number): Member[] {
    return [...this.entries.values()]
      .filter(({member}) => member.status === 'suspect')
      .filter(({suspectUntilMs}) => suspectUntilMs <= nowMs)
      .map(({member}) => member);
  }

  /** Gives all suspects more time. */
  prolongSuspicions(byMs: number): void {
    this.entries.forEach(entry => {
      entry.suspectUntilMs += byMs;
    });
  }

  /** Drops hints and gone members that are too old or too many. */
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
      .sort((first, second) => second.sinceMs - first.sinceMs);
    gone
      .filter(
        (member, index) =>
          index >= this.limits.maxGoneCount ||
          member.sinceMs + this.limits.goneKeepMs <= nowMs,
      )
      .forEach(member => this.forget(member.nodeName));
  }

  private forget(nodeName: string): void {
    this.entries.delete(nodeName);
    this.version++;
  }

  private store(record: MemberRecord, nowMs: number): void {
    const before = this.entries.get(record.nodeName);
    const isSameLife = before?.member.startedAtMs === record.startedAtMs;
    const isSameStatus = isSameLife && before.member.status === record.status;
    const sinceMs = isSameStatus ? before.member.sinceMs : nowMs;
    this.entries.set(record.nodeName, {
      member: {...record, sinceMs},
      wasLeaving:
        record.status === 'leaving' ||
        (record.status === 'gone' && isSameLife && before.wasLeaving),
      suspectUntilMs: nowMs + this.limits.suspicionMs(this.presentCount),
      hintedUntilMs: isSameLife ? before.hintedUntilMs : 0,
    });
    this.presentCount +=
      countPresent(record.status) - countPresent(before?.member.status);
    if (!isSameStatus) this.version++;
  }
}

function countPresent(status: MemberStatus | undefined): number {
  return status === undefined || status === 'gone' ? 0 : 1;
}

function toVisibleMember(entry: Entry): Member {
  const {member, hintedUntilMs} = entry;
  const isHinted =
    hintedUntilMs > 0 &&
    (member.status === 'alive' || member.status === 'suspect');
  return isHinted ? {...member, status: 'leaving'} : member;
}
