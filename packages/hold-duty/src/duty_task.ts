/**
 * Elects the node that holds a duty. The newest record of the duty's key names
 * the holder, and the record's offset is the fencing token. Claims are appended
 * on the condition that the topic has not grown: one of two concurrent claims
 * succeeds, and a delayed claim fails after any other record.
 */
import {type Clock} from '@mimosatack/clock';
import {type TypedError, toTypedError} from '@mimosatack/errors';
import {
  type KeyedChange,
  KeyedFollower,
  KeyedTable,
  type KeyedTopic,
  type ReadKind,
  type ReadRecovery,
  findEra,
} from '@mimosatack/keyed-store';
import {type RandomSource} from '@mimosatack/random';
import {
  hostPortSchema,
  nameSchema,
  ordinalSchema,
  parseJsonRecord,
} from '@mimosatack/types';
import * as z from 'zod';
import {type HolderContact, decideClaim} from './decide_claim.js';
import {SuspensionWatch} from './suspension_watch.js';
import {
  type KnownOrders,
  type LastOrders,
  TakeoverWait,
} from './takeover_wait.js';

export {type HolderContact} from './decide_claim.js';

/** The node that holds a duty. */
export interface DutyHolder {
  nodeName: string;
  /** Identifies the process; a restarted node has a new incarnation. */
  incarnation: string;
  /** The address at which other nodes reach it. */
  address: string;
  /** The fencing token, which increases with every record. */
  token: number;
  /** The incarnation that handed the duty over; absent if this holder claimed it. */
  handedOverBy?: string | undefined;
}

const recordSchema = z.object({
  nodeName: nameSchema.min(1),
  incarnation: nameSchema.min(1),
  address: hostPortSchema,
  handedOverBy: nameSchema.min(1).optional(),
  era: ordinalSchema.default(0),
});

export interface DutyRecord {
  holder: DutyHolder;
  /** Whether the store has come back from a copy since the record was written. */
  isFromCopy: boolean;
}

/** Encodes a holder as the value of its record. */
export class DutyHolderCodec {
  /** @param era in which the record is written; a copy of the store keeps an earlier one */
  static encode(
    {nodeName, incarnation, address, handedOverBy}: Omit<DutyHolder, 'token'>,
    era: number,
  ): Uint8Array {
    const record = {nodeName, incarnation, address, era, handedOverBy};
    return Buffer.from(JSON.stringify(record));
  }

  /** Throws `record-invalid` if the value is not a valid record. */
  static decode(value: Uint8Array, offset: number): DutyRecord {
    const {era, ...holder} = parseJsonRecord(value, recordSchema);
    return {
      holder: {...holder, token: offset + 1},
      isFromCopy: era < findEra(offset),
    };
  }
}

export interface DutyTaskOptions {
  clock: Clock;
  random: RandomSource;
  topic: KeyedTopic;
  key: string;
  self: Omit<DutyHolder, 'token'>;
  /** The state of the holder as this node's connections show it. */
  findHolderContact: (holder: DutyHolder) => HolderContact;
  /** Number of live nodes that claim before this one. */
  findRank: () => number;
  isReachedByOthers: () => boolean;
  /** When the lease grant of this node ends; the node does not claim before. */
  ownGrantEndsAtMs: () => number;
  /** When the startup delay ends; the process does not claim before. */
  claimHoldOffUntilMs: () => number;
  /**
   * Whether a holder's process requires this node's grant when it relies on
   * lease grants, since it has answered one.
   */
  isGrantorOf: (incarnation: string) => boolean;
  /**
   * When the first of the other nodes' lease grants for a token ends; grants
   * received before `sinceMs` do not count. Minus infinity when there is no
   * other node, or when a grant is missing.
   */
  findGrantsEndMs: (token: number, sinceMs: number) => number;
  /**
   * Whether targets refuse orders with an old fencing token. Otherwise the
   * holder must have a valid lease for each order.
   */
  isFenced: boolean;
  /** Minimum time between orders of two holders, in ms. */
  leaseMs: number;
  /** Whether this node may hold the duty at all. */
  isEligible: () => boolean;
  onHolder: (holder: DutyHolder | null) => void;
  /** Called with a record that names no holder. */
  onLeftOut: (key: string, error: TypedError) => void;
  /** Called when the store can't be reached or a write has failed. */
  onLost: (error: TypedError) => void;
  /** Called when the store can be reached again. */
  onRegained: (recovery: ReadRecovery) => void;
}

/** The holder on whose behalf orders are sent, and its fencing token. */
export interface DutyAuthority {
  holder: string;
  fencingToken: number;
}

const LONG_POLL_MS = 20_000;
const MIN_POLL_INTERVAL_MS = 20;
const RETRY_DELAY_MS = 200;
/**
 * Number of first-ranked nodes that retry the store without backoff, as the
 * holder does; the other nodes learn of a new holder from its heartbeats.
 */
const FAST_RETRY_RANKS = 4;
const MAX_RETRY_DELAY_MS = 2_000;
const TICK_MS = 50;
/** Leaves time to read the record back after a claim whose answer was lost. */
const CLAIM_INTERVAL_MS = 400;
/**
 * Lease time that a written renewal gives, as a fraction of `leaseMs`. A
 * smaller fraction shortens the wait after a takeover and needs more renewals.
 */
const RENEWED_LEASE_FRACTION = 0.5;
/**
 * A renewal is written when less than this fraction of a renewed lease is left,
 * which leaves time for one retry.
 */
const RENEWAL_THRESHOLD = 0.5;

/** Follows the record of one duty and claims the duty when it is vacant. */
export class DutyTask {
  private readonly table = new KeyedTable();
  private readonly follower: KeyedFollower;
  private current: DutyHolder | null = null;
  private contact: HolderContact | 'none' = 'none';
  private contactSinceMs: number;
  private nextClaimAtMs = -Infinity;
  /** End of the lease by the last written renewal; unused with fencing. */
  private leaseEndsAtMs = -Infinity;
  private leaseRenewedAtMs = -Infinity;
  /** When the newest holder record was read, or received from a peer. */
  private recordSeenAtMs = -Infinity;
  /** When the first record of the current holder was read. */
  private holderSeenAtMs = -Infinity;
  private readonly turnWait: TakeoverWait;
  private isClaiming = false;
  private isStopped = false;
  private readonly suspensionWatch: SuspensionWatch;

  constructor(private readonly options: DutyTaskOptions) {
    const {clock, random, topic} = options;
    this.contactSinceMs = clock.monotonicMs();
    this.suspensionWatch = new SuspensionWatch(clock);
    this.turnWait = new TakeoverWait(options.leaseMs);
    this.follower = new KeyedFollower({
      ...{clock, random, topic, table: this.table},
      waitMs: () => LONG_POLL_MS,
      minIntervalMs: MIN_POLL_INTERVAL_MS,
      retryDelayMs: RETRY_DELAY_MS,
      maxRetryDelayMs: () =>
        this.isHeld || options.findRank() < FAST_RETRY_RANKS
          ? RETRY_DELAY_MS
          : MAX_RETRY_DELAY_MS,
      onChanges: (changes, kind) => this.applyChanges(changes, kind),
      onLost: error => options.onLost(error),
      onRegained: recovery => options.onRegained(recovery),
    });
  }

  get holder(): DutyHolder | null {
    return this.current;
  }

  /** Whether this process is the newest holder that it knows of. */
  get isHeld(): boolean {
    return this.current?.incarnation === this.options.self.incarnation;
  }

  /**
   * Returns null when this node must not send orders. Call it right before each
   * order, since timers fire late after a suspension.
   */
  findAuthority(): DutyAuthority | null {
    const {clock, isFenced} = this.options;
    if (!this.current || !this.isHeld) return null;
    const nowMs = clock.monotonicMs();
    if (!isFenced && nowMs >= this.findLeaseEndMs(this.current)) return null;
    const {nodeName, token} = this.current;
    return {holder: nodeName, fencingToken: token};
  }

  /**
   * The end of the lease: by the last renewal in the store, or by the grants
   * that all other nodes send with their heartbeats, whichever is later. Grants
   * keep the lease valid during a store outage. A node that the holder does not
   * know, and so gets no grant from, claims only when it reaches neither the
   * holder nor any node that does.
   */
  private findLeaseEndMs({token}: DutyHolder): number {
    const trustedSinceMs = this.suspensionWatch.check();
    const leaseEndsAtMs =
      this.leaseRenewedAtMs > trustedSinceMs ? this.leaseEndsAtMs : -Infinity;
    return Math.max(
      leaseEndsAtMs,
      this.options.findGrantsEndMs(token, trustedSinceMs),
    );
  }

  /**
   * Until when this holder must not send orders to a target, since orders of
   * the previous holder may still arrive or arrived less than a lease ago.
   */
  findOrdersBlockedUntilMs(target: string): number {
    return this.options.isFenced
      ? -Infinity
      : this.turnWait.findBlockedUntilMs(target);
  }

  /**
   * The orders that a successor of this holder has to wait out.
   *
   * @param own the last order of this holder to each target
   */
  listOrdersForSuccessor(own: ReadonlyMap<string, number>): KnownOrders {
    const nowMs = this.options.clock.monotonicMs();
    return this.turnWait.listForSuccessor(own, nowMs);
  }

  /** Handles the last orders of a holder that sends no more orders. */
  noteLastOrders(lastOrders: LastOrders): void {
    this.turnWait.noteLastOrders(lastOrders);
  }

  /** Reads the record now, without waiting for the next poll. */
  refresh(): void {
    this.follower.refresh();
  }

  start(): void {
    this.follower.start();
    this.scheduleTick();
  }

  stop(): void {
    this.isStopped = true;
    this.follower.stop();
  }

  /** Handles a holder reported by a peer, unless a newer one is known. */
  noteHolder(holder: DutyHolder): void {
    if (this.current && holder.token <= this.current.token) return;
    this.setHolder(holder);
  }

  /**
   * Hands the duty over to another node; the caller must not send orders
   * meanwhile. Resolves with the successor's token, or with null when the record is not
   * known to be written; a record whose answer was lost is read back later.
   */
  async handOver(successor: Omit<DutyHolder, 'token'>): Promise<number | null> {
    if (!this.isHeld) return null;
    const {topic, key, self, onLost} = this.options;
    const handedOver = {...successor, handedOverBy: self.incarnation};
    const value = DutyHolderCodec.encode(handedOver, topic.era.number);
    try {
      const outcome = await topic.append([{key, value}], {
        atOffset: this.table.endOffset,
      });
      if (outcome.status === 'appended') {
        const token = outcome.offset + 1;
        this.noteHolder({...handedOver, token});
        return token;
      }
      this.follower.refresh();
    } catch (thrown) {
      onLost(toTypedError(thrown));
    }
    return null;
  }

  private scheduleTick(): void {
    if (this.isStopped) return;
    this.options.clock.setTimer(TICK_MS, () => {
      this.tick();
      this.scheduleTick();
    });
  }

  private tick(): void {
    const {clock, findRank, isReachedByOthers, isEligible} = this.options;
    const nowMs = clock.monotonicMs();
    this.updateContact(nowMs);
    const isReadable = this.follower.isReachable;
    if (!isReadable || this.isClaiming || nowMs < this.nextClaimAtMs) return;
    if (!isEligible()) return;
    if (this.isClaimBlocked(nowMs)) return;
    const isDue = decideClaim({
      holder: this.current && {
        isSelf: this.isHeld,
        contact: this.contact === 'none' ? 'silent' : this.contact,
      },
      contactForMs: nowMs - this.contactSinceMs,
      rank: findRank(),
      isReachedByOthers: isReachedByOthers(),
    });
    if (isDue || this.isRenewalDue(nowMs) || this.isRecordLost) {
      void this.claim();
    }
  }

  /**
   * Whether a lease grant or the startup delay keeps this node from claiming.
   * Neither applies with fencing, or when the holder's process has exited.
   */
  private isClaimBlocked(nowMs: number): boolean {
    const {isFenced, claimHoldOffUntilMs, ownGrantEndsAtMs} = this.options;
    if (isFenced || this.isHeld || !this.current) return false;
    if (this.contact === 'ended') return false;
    if (nowMs < claimHoldOffUntilMs()) return true;
    return this.contact !== 'gone' && nowMs < ownGrantEndsAtMs();
  }

  /** Whether this node holds the duty by a record that the store may not have any more. */
  private get isRecordLost(): boolean {
    const {topic} = this.options;
    return (
      this.isHeld &&
      this.current !== null &&
      findEra(this.current.token) < topic.era.number
    );
  }

  private isRenewalDue(nowMs: number): boolean {
    const {isFenced, leaseMs} = this.options;
    if (isFenced || !this.current || !this.isHeld) return false;
    const leftMs = this.findLeaseEndMs(this.current) - nowMs;
    return leftMs < RENEWAL_THRESHOLD * RENEWED_LEASE_FRACTION * leaseMs;
  }

  private updateContact(nowMs: number): void {
    const contact = this.current
      ? this.options.findHolderContact(this.current)
      : 'none';
    if (contact === this.contact) return;
    this.contact = contact;
    this.contactSinceMs = nowMs;
  }

  private async claim(): Promise<void> {
    const {topic, key, self, clock} = this.options;
    const sentAtMs = clock.monotonicMs();
    this.isClaiming = true;
    this.nextClaimAtMs = sentAtMs + CLAIM_INTERVAL_MS;
    try {
      const value = DutyHolderCodec.encode(self, topic.era.number);
      const outcome = await topic.append([{key, value}], {
        atOffset: this.table.endOffset,
      });
      if (outcome.status === 'appended') {
        this.leaseRenewedAtMs = sentAtMs;
        this.leaseEndsAtMs =
          sentAtMs + RENEWED_LEASE_FRACTION * this.options.leaseMs;
        this.noteHolder({...self, token: outcome.offset + 1});
      } else {
        this.follower.refresh();
      }
    } catch (thrown) {
      this.options.onLost(toTypedError(thrown));
    } finally {
      this.isClaiming = false;
    }
  }

  private applyChanges(changes: readonly KeyedChange[], kind: ReadKind): void {
    changes
      .filter(({key}) => key === this.options.key)
      .flatMap(change => this.decode(change))
      .forEach(({holder, isFromCopy}) => {
        // A copy names an earlier holder than the one that is known.
        const isOutdated =
          kind === 'restored' && this.current !== null && isFromCopy;
        if (!isOutdated) this.noteHolder(holder);
      });
  }

  private decode({key, value, offset}: KeyedChange): DutyRecord[] {
    if (value === null) return [];
    try {
      return [DutyHolderCodec.decode(value, offset)];
    } catch (thrown) {
      this.options.onLeftOut(key, toTypedError(thrown));
      return [];
    }
  }

  /**
   * The latest time at which the previous holder can have sent an order. Its
   * lease ends with the renewal of its newest record or with its grants, which
   * include this node's grant when `isGrantorOf` says so.
   */
  private findLatestOrderMs({incarnation}: DutyHolder): number {
    const {clock, leaseMs, ownGrantEndsAtMs, isGrantorOf} = this.options;
    const nowMs = clock.monotonicMs();
    const renewedLeaseMs = RENEWED_LEASE_FRACTION * leaseMs;
    const upperBoundMs = this.findRenewedLeaseEndMs();
    // Of a holder that was lost just before, the lease may still run.
    if (this.contact === 'ended') {
      return Math.max(nowMs, this.holderSeenAtMs + renewedLeaseMs);
    }
    if (!isGrantorOf(incarnation)) return upperBoundMs;
    const knownBoundMs = Math.max(
      this.recordSeenAtMs + renewedLeaseMs,
      ownGrantEndsAtMs(),
    );
    return Math.min(upperBoundMs, knownBoundMs);
  }

  /**
   * A record of a handover names the holder before it. Guards against orders of a process
   * that has just started: it may know no earlier holder, or one of long ago, and of a
   * holder that was lost shortly before, the lease may still run.
   */
  private noteTakeover({token, handedOverBy}: DutyHolder): void {
    const {current, turnWait} = this;
    const lastOrderAtMs =
      handedOverBy === undefined && current
        ? this.findLatestOrderMs(current)
        : this.findRenewedLeaseEndMs();
    const previous = handedOverBy ?? current?.incarnation;
    // Without a previous holder, nobody has sent orders.
    if (previous === undefined) return;
    turnWait.noteTakeover({previous, token, lastOrderAtMs});
  }

  /** When a lease ends at the latest that was renewed before now. */
  private findRenewedLeaseEndMs(): number {
    const {clock, leaseMs} = this.options;
    return clock.monotonicMs() + RENEWED_LEASE_FRACTION * leaseMs;
  }

  private setHolder(holder: DutyHolder): void {
    const {incarnation} = holder;
    const isNewHolder = this.current?.incarnation !== incarnation;
    if (isNewHolder) this.noteTakeover(holder);
    this.recordSeenAtMs = this.options.clock.monotonicMs();
    this.current = holder;
    if (!isNewHolder) return;
    this.holderSeenAtMs = this.recordSeenAtMs;
    this.turnWait.discardLastOrders(incarnation);
    this.contact = 'none';
    this.contactSinceMs = this.options.clock.monotonicMs();
    this.options.onHolder(holder);
  }
}
