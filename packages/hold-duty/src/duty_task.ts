/**
 * The task that knows who carries out a duty, and claims it when nobody does.
 * The newest record of the duty's key names the holder, and the record's
 * offset is the fencing token: it grows with every change of the holder.
 *
 * Two nodes that claim at once: both append on the condition that the topic
 * ends where they read it, so the store takes one. A claim whose answer is
 * lost: nobody believes it before the record has been read back, and one that
 * is carried out seconds later still holds only if no other came between.
 */
import {type Clock} from '@mimosatack/clock';
import {type TypedError, toTypedError} from '@mimosatack/errors';
import {
  type KeyedChange,
  KeyedFollower,
  KeyedTable,
  type KeyedTopic,
} from '@mimosatack/keyed-store';
import {type RandomSource} from '@mimosatack/random';
import {type HolderContact, decideClaim} from './decide_claim.js';
import {SuspensionWatch} from './suspension_watch.js';
import {type LastOrders, TurnWait} from './turn_wait.js';

export {type HolderContact} from './decide_claim.js';

/** Who holds a duty. */
export interface DutyHolder {
  nodeName: string;
  /** One life of its process. */
  incarnation: string;
  /** Where the other nodes reach it. */
  address: string;
  /** Higher for every later holder. */
  token: number;
}

/** Turns the holder into the value of its record and back. */
export class DutyHolderCodec {
  static encode({nodeName, incarnation, address}: DutyHolder): Uint8Array {
    return Buffer.from(JSON.stringify({nodeName, incarnation, address}));
  }

  /** Null for a value of an unknown form. */
  static decode(value: Uint8Array, offset: number): DutyHolder | null {
    try {
      const {nodeName, incarnation, address} = JSON.parse(
        Buffer.from(value).toString('utf8'),
      ) as Partial<DutyHolder>;
      if (!nodeName || !incarnation || !address) return null;
      return {nodeName, incarnation, address, token: offset + 1};
    } catch {
      return null;
    }
  }
}

/** What the task is built from. */
export interface DutyTaskOptions {
  clock: Clock;
  random: RandomSource;
  topic: KeyedTopic;
  key: string;
  self: Omit<DutyHolder, 'token'>;
  /** What this node's connections tell of the holder. */
  contactWith: (holder: DutyHolder) => HolderContact;
  /** How many live nodes claim before this one. */
  findRank: () => number;
  isHeardByOthers: () => boolean;
  /** Until when this node has promised the holder not to claim. */
  promisedUntilMs: () => number;
  /** Until when this process claims nothing, since it has just started. */
  quietUntilMs: () => number;
  /**
   * Whether a holder's process needs this node's promise wherever it relies on
   * promises, since it has answered one.
   */
  isCountedBy: (incarnation: string) => boolean;
  /**
   * Until when all other nodes have promised the holder of a token not to
   * claim; promises that came before `sinceMs` do not count. Minus infinity
   * when there is no other node, or one that has not promised.
   */
  grantedUntilMs: (token: number, sinceMs: number) => number;
  /**
   * Whether those that are ordered refuse an old fencing token. Where they do
   * not, the holder has to prove its lease again and again.
   */
  isFenced: boolean;
  /** Orders of two holders must be at least this far apart. */
  leaseMs: number;
  /** Whether this node may hold the duty at all. */
  isEligible: () => boolean;
  onHolder: (holder: DutyHolder | null) => void;
  onLost: (error: TypedError) => void;
  onRegained: () => void;
}

/** In whose name something is ordered, and with which token. */
export interface DutyAuthority {
  holder: string;
  fencingToken: number;
}

const WAIT_MS = 20_000;
const MIN_INTERVAL_MS = 20;
const RETRY_DELAY_MS = 200;
/**
 * Whoever would claim first has to see soon that the store is back, and so has the
 * holder; the others learn of the next holder from it.
 */
const FIRST_CLAIMANTS = 4;
const MAX_RETRY_DELAY_MS = 2_000;
const TICK_MS = 50;
/** After a claim without an answer, the record is read back first. */
const CLAIM_PAUSE_MS = 400;
/**
 * How long a renewal lets a holder order, as part of the time by which two
 * holders' orders have to be apart. Shorter means less waiting at a change of
 * the holder and more renewals.
 */
const PROVED_PART = 0.5;
/**
 * A renewal is written when less than this part of a proof is left, so that one
 * may fail. The promises of all others leave more, and save the write.
 */
const RENEWAL_LEFT_PART = 0.5;

/** Follows the record of one duty and claims it when that is due. */
export class DutyTask {
  private readonly table = new KeyedTable();
  private readonly follower: KeyedFollower;
  private current: DutyHolder | null = null;
  private contact: HolderContact | 'none' = 'none';
  private contactSinceMs: number;
  private claimAtMs = -Infinity;
  /** Proved by the store until then; only used without fences. */
  private leaseEndsAtMs = -Infinity;
  private leaseProvedAtMs = -Infinity;
  /** When the newest record of the holder was read or told. */
  private recordAtMs = -Infinity;
  private readonly turnWait: TurnWait;
  private isClaiming = false;
  private isStopped = false;
  private readonly suspension: SuspensionWatch;

  constructor(private readonly options: DutyTaskOptions) {
    const {clock, random, topic} = options;
    this.contactSinceMs = clock.monotonicMs();
    this.suspension = new SuspensionWatch(clock);
    this.turnWait = new TurnWait(options.leaseMs);
    this.follower = new KeyedFollower({
      ...{clock, random, topic, table: this.table},
      waitMs: () => WAIT_MS,
      minIntervalMs: MIN_INTERVAL_MS,
      retryDelayMs: RETRY_DELAY_MS,
      maxRetryDelayMs: () =>
        this.isHeld || options.findRank() < FIRST_CLAIMANTS
          ? RETRY_DELAY_MS
          : MAX_RETRY_DELAY_MS,
      onChanges: changes => this.takeChanges(changes),
      onLost: error => options.onLost(error),
      onRegained: () => options.onRegained(),
    });
  }

  /** The newest known holder. */
  get holder(): DutyHolder | null {
    return this.current;
  }

  /** Whether this process holds the duty as far as it knows. */
  get isHeld(): boolean {
    return this.current?.incarnation === this.options.self.incarnation;
  }

  /**
   * In whose name this node may order now; null when it must not. To be asked
   * right before each order: after a freeze, timers fire late.
   */
  findAuthority(): DutyAuthority | null {
    const {clock, isFenced} = this.options;
    if (!this.current || !this.isHeld) return null;
    const nowMs = clock.monotonicMs();
    if (!isFenced && nowMs >= this.findProvedUntilMs(this.current)) return null;
    const {nodeName, token} = this.current;
    return {holder: nodeName, fencingToken: token};
  }

  /**
   * Until when no other node can order. The store proves it by taking a
   * renewal. While it can't be reached nobody can claim through it either, but
   * this node alone can't tell that from being cut off; so the other nodes
   * promise with their heartbeats not to claim for a while. A node that is not
   * known yet claims only when it hears neither this one nor any that does.
   */
  private findProvedUntilMs({token}: DutyHolder): number {
    const trustedSinceMs = this.suspension.look();
    const leaseEndsAtMs =
      this.leaseProvedAtMs > trustedSinceMs ? this.leaseEndsAtMs : -Infinity;
    return Math.max(
      leaseEndsAtMs,
      this.options.grantedUntilMs(token, trustedSinceMs),
    );
  }

  /**
   * Until when this holder must not order a target, since orders of the last
   * one may still arrive there or have arrived a moment ago.
   */
  findQuietUntilMs(target: string): number {
    return this.options.isFenced
      ? -Infinity
      : this.turnWait.findUntilMs(target);
  }

  /** Takes what a holder that orders no more has told of its last orders. */
  noteLastOrders(told: LastOrders): void {
    this.turnWait.noteLastOrders(told);
  }

  /** Reads the record at once, since a change may have been missed. */
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

  /** Takes what a peer knows; an older holder never replaces a newer one. */
  noteHolder(holder: DutyHolder): void {
    if (this.current && holder.token <= this.current.token) return;
    this.setHolder(holder);
  }

  /**
   * Gives the duty to another node; this one must not order meanwhile. Resolves
   * with whether the record is known to be written: without an answer it may
   * be written all the same, and is then read back.
   */
  async handOver(successor: Omit<DutyHolder, 'token'>): Promise<boolean> {
    if (!this.isHeld) return false;
    const {topic, key, onLost} = this.options;
    const value = DutyHolderCodec.encode({...successor, token: 0});
    try {
      const outcome = await topic.append([{key, value}], {
        atOffset: this.table.endOffset,
      });
      if (outcome.status === 'appended') {
        this.noteHolder({...successor, token: outcome.offset + 1});
        return true;
      }
      this.follower.refresh();
    } catch (thrown) {
      onLost(toTypedError(thrown));
    }
    return false;
  }

  private scheduleTick(): void {
    if (this.isStopped) return;
    this.options.clock.setTimer(TICK_MS, () => {
      this.tick();
      this.scheduleTick();
    });
  }

  private tick(): void {
    const {clock, findRank, isHeardByOthers, isEligible} = this.options;
    const nowMs = clock.monotonicMs();
    this.noteContact(nowMs);
    const isReadable = this.follower.isReachable;
    if (!isReadable || this.isClaiming || nowMs < this.claimAtMs) return;
    if (!isEligible()) return;
    if (this.isBound(nowMs)) return;
    const isDue = decideClaim({
      holder: this.current && {
        isSelf: this.isHeld,
        contact: this.contact === 'none' ? 'silent' : this.contact,
      },
      contactForMs: nowMs - this.contactSinceMs,
      rank: findRank(),
      isHeardByOthers: isHeardByOthers(),
    });
    if (isDue || this.isRenewalDue(nowMs)) void this.claim();
  }

  /**
   * Whether a promise keeps this node from claiming. One to a process that has
   * ended binds nobody; where engines check fences, none is relied on.
   */
  private isBound(nowMs: number): boolean {
    const {isFenced, quietUntilMs, promisedUntilMs} = this.options;
    if (isFenced || this.isHeld || !this.current) return false;
    if (this.contact === 'ended') return false;
    if (nowMs < quietUntilMs()) return true;
    return this.contact !== 'gone' && nowMs < promisedUntilMs();
  }

  private isRenewalDue(nowMs: number): boolean {
    const {isFenced, leaseMs} = this.options;
    if (isFenced || !this.current || !this.isHeld) return false;
    const leftMs = this.findProvedUntilMs(this.current) - nowMs;
    return leftMs < RENEWAL_LEFT_PART * PROVED_PART * leaseMs;
  }

  private noteContact(nowMs: number): void {
    const contact = this.current
      ? this.options.contactWith(this.current)
      : 'none';
    if (contact === this.contact) return;
    this.contact = contact;
    this.contactSinceMs = nowMs;
  }

  private async claim(): Promise<void> {
    const {topic, key, self, clock} = this.options;
    const sentAtMs = clock.monotonicMs();
    this.isClaiming = true;
    this.claimAtMs = sentAtMs + CLAIM_PAUSE_MS;
    try {
      const value = DutyHolderCodec.encode({...self, token: 0});
      const outcome = await topic.append([{key, value}], {
        atOffset: this.table.endOffset,
      });
      if (outcome.status === 'appended') {
        this.leaseProvedAtMs = sentAtMs;
        this.leaseEndsAtMs = sentAtMs + PROVED_PART * this.options.leaseMs;
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

  private takeChanges(changes: readonly KeyedChange[]): void {
    changes
      .filter(({key}) => key === this.options.key)
      .forEach(({value, offset}) => {
        const holder = value && DutyHolderCodec.decode(value, offset);
        if (holder) this.noteHolder(holder);
      });
  }

  /**
   * The latest time at which the last holder can have ordered. It may order
   * while the store has proved its lease, or while all that it counts promise
   * not to claim. Its newest record is known when the next one stands, and this
   * node's promise, if it was counted, ends when the others' do or later.
   */
  private findLastOrderMs({incarnation}: DutyHolder): number {
    const {clock, leaseMs, promisedUntilMs, isCountedBy} = this.options;
    const nowMs = clock.monotonicMs();
    const provedMs = PROVED_PART * leaseMs;
    const latestMs = nowMs + provedMs;
    if (this.contact === 'ended') return nowMs;
    if (!isCountedBy(incarnation)) return latestMs;
    const knownMs = Math.max(this.recordAtMs + provedMs, promisedUntilMs());
    return Math.min(latestMs, knownMs);
  }

  private setHolder(holder: DutyHolder): void {
    const {incarnation} = holder;
    const isTurn = this.current?.incarnation !== incarnation;
    if (isTurn && this.current) {
      const last = this.current;
      this.turnWait.begin(last.incarnation, this.findLastOrderMs(last));
    }
    this.recordAtMs = this.options.clock.monotonicMs();
    this.current = holder;
    if (!isTurn) return;
    this.turnWait.forget(incarnation);
    this.contact = 'none';
    this.contactSinceMs = this.options.clock.monotonicMs();
    this.options.onHolder(holder);
  }
}
