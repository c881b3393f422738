/** Believes, refutes and passes on what nodes say about each other. */
import {
  type Member,
  type MemberInfo,
  type MemberRecord,
  type MemberStatus,
  type MemberUpdate,
  isNewer,
  toUpdate,
} from './member.js';
import {type ApplyOutcome, MemberTable} from './member_table.js';
import {type OutgoingMessage} from './messages.js';
import {
  type MembershipOptions,
  suspicionMs,
  transmissionLimit,
} from './options.js';
import {UpdateQueue} from './update_queue.js';

/** The members and the updates about them that still spread. */
export class Gossip {
  readonly table: MemberTable;
  private readonly queue = new UpdateQueue();
  private readonly selfName: string;
  /** Members whose update must not wait for the usual round. */
  private readonly urgent = new Set<string>();

  constructor(
    self: MemberInfo,
    private readonly options: MembershipOptions,
  ) {
    this.selfName = self.nodeName;
    this.table = new MemberTable({
      suspicionMs: nodeCount => suspicionMs(options, nodeCount),
      goneKeepMs: options.goneKeepMs,
      maxGoneCount: options.maxGoneCount,
    });
    this.table.applyRecord({...self, counter: 0, status: 'alive'}, 0);
  }

  /** This node as it tells of itself. */
  get self(): Member {
    return this.table.get(this.selfName)!;
  }

  isSelf(nodeName: string): boolean {
    return nodeName === this.selfName;
  }

  /** Sets the status by this node's own finding and spreads it. */
  declare(nodeName: string, status: MemberStatus, nowMs: number): void {
    this.table.setStatus(nodeName, status, nowMs);
    this.queue.add(nodeName);
  }

  /** Tells of this node anew, above everything said of it so far. */
  announceSelf(change: Partial<MemberRecord>, nowMs: number): void {
    const {counter} = this.self;
    this.table.applyRecord(
      {...this.self, counter: counter + 1, ...change},
      nowMs,
    );
    this.queue.add(this.selfName);
  }

  /** Has the member's update told to all probed peers at once. */
  hurry(nodeName: string): void {
    this.urgent.add(nodeName);
  }

  /** The updates to be told at once; those over the bound only spread. */
  takeUrgent(): MemberUpdate[] {
    const updates = [...this.urgent]
      .slice(0, this.options.maxPiggybackCount)
      .map(nodeName => this.table.get(nodeName))
      .filter(member => member !== undefined)
      .map(member => toUpdate(member));
    this.urgent.clear();
    return updates;
  }

  /** Takes in updates; asks the sender about lives not known here. */
  applyUpdates(
    fromAddress: string,
    updates: readonly MemberUpdate[],
    nowMs: number,
  ): OutgoingMessage[] {
    const nodeNames = updates
      .filter(update => this.applyUpdate(update, nowMs) === 'unknown')
      .map(update => update.nodeName);
    return nodeNames.length === 0
      ? []
      : [
          {
            toAddress: fromAddress,
            message: {type: 'details-request', nodeNames},
          },
        ];
  }

  /** Takes in one update and spreads it if it is news. */
  applyUpdate(update: MemberUpdate, nowMs: number): ApplyOutcome {
    if (this.isSelf(update.nodeName)) return this.refute(update, nowMs);
    const outcome = this.table.applyUpdate(update, nowMs);
    if (outcome === 'news') this.queue.add(update.nodeName);
    return outcome;
  }

  /** Takes in full records; `isNews` tells whether others lack them too. */
  applyRecords(
    records: readonly MemberRecord[],
    nowMs: number,
    isNews: boolean,
  ): void {
    records.forEach(record => {
      if (this.isSelf(record.nodeName)) {
        this.refute(record, nowMs);
        return;
      }
      const outcome = this.table.applyRecord(record, nowMs);
      if (outcome === 'news' && isNews) this.queue.add(record.nodeName);
    });
  }

  /**
   * The updates that ride on a message: first what the receiver must hear of
   * itself, so that it can refute, then those sent least often.
   */
  pickUpdates(
    toAddress: string,
    rumors: readonly MemberUpdate[] = [],
  ): MemberUpdate[] {
    const receiver = this.table.findByAddress(toAddress);
    const isAccused =
      receiver?.status === 'suspect' || receiver?.status === 'gone';
    const first = isAccused ? [toUpdate(receiver), ...rumors] : rumors;
    const names = this.queue.take(
      this.options.maxPiggybackCount - first.length,
      transmissionLimit(this.table.size),
    );
    const spread = names
      .map(nodeName => this.table.get(nodeName))
      .filter(member => member !== undefined)
      .map(member => toUpdate(member));
    return [...first, ...spread];
  }

  /**
   * Guards against this node being taken for dead while it only was frozen,
   * overloaded or cut off: it hears the accusation on the next message and
   * raises its counter, which outranks the accusation everywhere. It hurries,
   * as a suspicion would else come to its end before the refutation is known.
   */
  private refute(update: MemberUpdate, nowMs: number): ApplyOutcome {
    const isThisLife = update.startedAtMs === this.self.startedAtMs;
    if (isThisLife && isNewer(update, this.self)) {
      this.announceSelf({counter: update.counter + 1}, nowMs);
      this.hurry(this.selfName);
    }
    return 'old';
  }
}
