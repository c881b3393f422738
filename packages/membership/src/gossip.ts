/** Applies, refutes and disseminates member updates. */
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
  suspicionTimeoutMs,
  transmissionLimit,
} from './options.js';
import {UpdateQueue} from './update_queue.js';

export class Gossip {
  readonly table: MemberTable;
  private readonly queue = new UpdateQueue();
  private readonly selfName: string;
  /** Members whose updates are sent without waiting for the next probe. */
  private readonly urgent = new Set<string>();

  constructor(
    self: MemberInfo,
    private readonly options: MembershipOptions,
  ) {
    this.selfName = self.nodeName;
    this.table = new MemberTable({
      suspicionTimeoutMs: nodeCount => suspicionTimeoutMs(options, nodeCount),
      goneRetentionMs: options.goneRetentionMs,
      maxGoneCount: options.maxGoneCount,
    });
    this.table.applyRecord({...self, counter: 0, status: 'alive'}, 0);
  }

  /** This node's own entry. */
  get self(): Member {
    return this.table.get(this.selfName)!;
  }

  isSelf(nodeName: string): boolean {
    return nodeName === this.selfName;
  }

  /** Sets a status detected by this node and queues it for gossip. */
  declareStatus(nodeName: string, status: MemberStatus, nowMs: number): void {
    this.table.setStatus(nodeName, status, nowMs);
    this.queue.add(nodeName);
  }

  /** Updates this node's entry and increments its counter to override reports. */
  announceSelf(change: Partial<MemberRecord>, nowMs: number): void {
    const {counter} = this.self;
    this.table.applyRecord(
      {...this.self, counter: counter + 1, ...change},
      nowMs,
    );
    this.queue.add(this.selfName);
  }

  /** Marks the member's update for sending to all probe targets on `tick`. */
  markUrgent(nodeName: string): void {
    this.urgent.add(nodeName);
  }

  /** Returns urgent updates; any over the limit are left to regular gossip. */
  takeUrgent(): MemberUpdate[] {
    const updates = [...this.urgent]
      .slice(0, this.options.maxPiggybackCount)
      .map(nodeName => this.table.get(nodeName))
      .filter(member => member !== undefined)
      .map(member => toUpdate(member));
    this.urgent.clear();
    return updates;
  }

  /** Applies updates and requests details of unknown members from the sender. */
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

  /** Applies an update and queues it for gossip if it changed the table. */
  applyUpdate(update: MemberUpdate, nowMs: number): ApplyOutcome {
    if (this.isSelf(update.nodeName)) return this.refute(update, nowMs);
    const outcome = this.table.applyUpdate(update, nowMs);
    if (outcome === 'applied') this.queue.add(update.nodeName);
    return outcome;
  }

  /** Applies full records; `enqueue` also queues changes for gossip. */
  applyRecords(
    records: readonly MemberRecord[],
    nowMs: number,
    enqueue: boolean,
  ): void {
    records.forEach(record => {
      if (this.isSelf(record.nodeName)) {
        this.refute(record, nowMs);
        return;
      }
      const outcome = this.table.applyRecord(record, nowMs);
      if (outcome === 'applied' && enqueue) this.queue.add(record.nodeName);
    });
  }

  /**
   * Selects the updates to piggyback on a message: a report about the receiver
   * first, so that it can refute, then those sent least often.
   */
  pickUpdates(
    toAddress: string,
    leadingUpdates: readonly MemberUpdate[] = [],
  ): MemberUpdate[] {
    const receiver = this.table.findByAddress(toAddress);
    const isReceiverSuspected =
      receiver?.status === 'suspect' || receiver?.status === 'gone';
    const first = isReceiverSuspected
      ? [toUpdate(receiver), ...leadingUpdates]
      : leadingUpdates;
    const names = this.queue.take(
      this.options.maxPiggybackCount - first.length,
      transmissionLimit(this.table.size),
    );
    const queued = names
      .map(nodeName => this.table.get(nodeName))
      .filter(member => member !== undefined)
      .map(member => toUpdate(member));
    return [...first, ...queued];
  }

  /**
   * Guards against a running node being declared gone after a pause, overload
   * or partition: a higher counter overrides the report on every node. The
   * refutation is urgent, as it must arrive before the suspicion expires.
   */
  private refute(update: MemberUpdate, nowMs: number): ApplyOutcome {
    const isThisIncarnation = update.startedAtMs === this.self.startedAtMs;
    if (isThisIncarnation && isNewer(update, this.self)) {
      this.announceSelf({counter: update.counter + 1}, nowMs);
      this.markUrgent(this.selfName);
    }
    return 'stale';
  }
}
