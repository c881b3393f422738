/** Joining through seeds and periodic comparison of member lists. */
import {type RandomSource, pickOne} from '@mimosatack/random';
import {type Gossip} from './gossip.js';
import {
  type Member,
  type MemberRecord,
  type MemberUpdate,
  toRecord,
} from './member.js';
import {
  bucketOf,
  digestOfBuckets,
  digestBuckets,
  listDifferingBuckets,
} from './member_digests.js';
import {type MessageOf, type OutgoingMessage} from './messages.js';
import {type MembershipOptions} from './options.js';
import {pickSample} from './random_choice.js';
import {Schedule} from './schedule.js';

const RECORDS_PER_PAGE = 50;
const BUCKETS_PER_PAGE = 16;
/** Maximum number of members in one reply to a details request. */
const MAX_DETAILS_COUNT = 100;
/** Probability of picking a sync peer from another region. */
const REMOTE_REGION_SHARE = 0.5;

/** Called with members that a peer reports gone and this node does not. */
export type GoneReportListener = (
  nodeName: string,
  report: MemberUpdate,
) => void;

/** Exchanges full lists on joining, then only the buckets that differ. */
export class ListExchange {
  /** True once a seed has answered, or if there are no other seeds. */
  isJoined = true;
  private seeds: string[] = [];
  private nextJoinMs = 0;
  private readonly syncSchedule: Schedule;
  private readonly seedSchedule: Schedule;

  constructor(
    private readonly gossip: Gossip,
    private readonly options: MembershipOptions,
    private readonly random: RandomSource,
    private readonly onGoneReport: GoneReportListener,
  ) {
    this.syncSchedule = new Schedule(options.syncPeriodMs, random);
    this.seedSchedule = new Schedule(options.seedPeriodMs, random);
  }

  join(seedAddresses: readonly string[], nowMs: number): OutgoingMessage[] {
    const {peerAddress} = this.gossip.self;
    this.seeds = seedAddresses.filter(address => address !== peerAddress);
    this.isJoined = this.seeds.length === 0;
    return this.retryJoin(nowMs);
  }

  tick(nowMs: number): OutgoingMessage[] {
    return [
      ...this.retryJoin(nowMs),
      ...this.syncWithPeer(nowMs),
      ...this.syncWithSeed(nowMs),
    ];
  }

  /** Starts a list comparison with the node at `toAddress`. */
  makeSync(toAddress: string): OutgoingMessage {
    const digest = digestOfBuckets(digestBuckets(this.listUpdates()));
    return {toAddress, message: {type: 'sync', digest}};
  }

  receiveJoin(
    fromAddress: string,
    {member}: MessageOf<'join'>,
    nowMs: number,
  ): OutgoingMessage[] {
    this.gossip.applyRecords([member], nowMs, true);
    const pages = paginate(this.gossip.table.listRecords(), RECORDS_PER_PAGE);
    return pages.map((members, page) => ({
      toAddress: fromAddress,
      message: {type: 'join-ack', page, pageCount: pages.length, members},
    }));
  }

  receiveJoinAck(
    fromAddress: string,
    {members}: MessageOf<'join-ack'>,
    nowMs: number,
  ): OutgoingMessage[] {
    this.isJoined = true;
    this.gossip.applyRecords(members, nowMs, false);
    const isSuperseding = members.some(member =>
      this.supersedePredecessor(member, nowMs),
    );
    return isSuperseding ? [this.makeJoin(fromAddress)] : [];
  }

  receiveSync(
    fromAddress: string,
    {digest}: MessageOf<'sync'>,
  ): OutgoingMessage[] {
    const digests = digestBuckets(this.listUpdates());
    if (digestOfBuckets(digests) === digest) return [];
    return [{toAddress: fromAddress, message: {type: 'sync-digests', digests}}];
  }

  receiveSyncDigests(
    fromAddress: string,
    {digests}: MessageOf<'sync-digests'>,
  ): OutgoingMessage[] {
    const own = digestBuckets(this.listUpdates());
    return paginate(listDifferingBuckets(own, digests), BUCKETS_PER_PAGE).map(
      buckets => this.makeSyncMembers(fromAddress, buckets, false),
    );
  }

  receiveSyncMembers(
    fromAddress: string,
    {buckets, updates, isReply}: MessageOf<'sync-members'>,
    nowMs: number,
  ): OutgoingMessage[] {
    const reply = isReply
      ? []
      : [this.makeSyncMembers(fromAddress, buckets, true)];
    const accepted = updates.filter(update => !this.needsVerification(update));
    return [
      ...reply,
      ...this.gossip.applyUpdates(fromAddress, accepted, nowMs),
    ];
  }

  receiveDetailsRequest(
    fromAddress: string,
    {nodeNames}: MessageOf<'details-request'>,
  ): OutgoingMessage[] {
    const members = nodeNames
      .slice(0, MAX_DETAILS_COUNT)
      .map(nodeName => this.gossip.table.get(nodeName))
      .filter(member => member !== undefined)
      .map(toRecord);
    return [{toAddress: fromAddress, message: {type: 'details', members}}];
  }

  receiveDetails({members}: MessageOf<'details'>, nowMs: number): void {
    this.gossip.applyRecords(members, nowMs, true);
  }

  private retryJoin(nowMs: number): OutgoingMessage[] {
    if (this.isJoined || nowMs < this.nextJoinMs) return [];
    this.nextJoinMs = nowMs + this.options.joinRetryMs;
    return pickSample(this.random, this.seeds, this.options.joinSeedCount).map(
      seed => this.makeJoin(seed),
    );
  }

  private makeJoin(toAddress: string): OutgoingMessage {
    const member = toRecord(this.gossip.self);
    return {toAddress, message: {type: 'join', member}};
  }

  /**
   * Guards against a replacement node being ignored because its host's wall
   * clock is behind its predecessor's: raises the announced start time above
   * the predecessor's. Returns whether that was needed.
   */
  private supersedePredecessor(record: MemberRecord, nowMs: number): boolean {
    const {self} = this.gossip;
    const isOutranked =
      record.nodeName === self.nodeName &&
      record.incarnation !== self.incarnation &&
      record.startedAtMs >= self.startedAtMs;
    if (!isOutranked) return false;
    this.gossip.announceSelf({startedAtMs: record.startedAtMs + 1}, nowMs);
    return true;
  }

  private syncWithPeer(nowMs: number): OutgoingMessage[] {
    if (!this.syncSchedule.isDue(nowMs)) return [];
    const peer = this.pickSyncPeer();
    return peer ? [this.makeSync(peer.peerAddress)] : [];
  }

  private pickSyncPeer(): Member | undefined {
    const peers = this.gossip.table
      .listPresent()
      .filter(member => !this.gossip.isSelf(member.nodeName));
    const remotePeers = peers.filter(
      member => member.region !== this.gossip.self.region,
    );
    const usesRemote =
      remotePeers.length > 0 &&
      this.random.nextFraction() < REMOTE_REGION_SHARE;
    return pickOne(this.random, usesRemote ? remotePeers : peers);
  }

  /**
   * Guards against separate clusters, such as when all nodes start at the same
   * time and join through different seeds.
   */
  private syncWithSeed(nowMs: number): OutgoingMessage[] {
    if (!this.seedSchedule.isDue(nowMs)) return [];
    const present = new Set(
      this.gossip.table.listPresent().map(member => member.peerAddress),
    );
    const seed = pickOne(
      this.random,
      this.seeds.filter(address => !present.has(address)),
    );
    return seed === undefined ? [] : [this.makeSync(seed)];
  }

  private makeSyncMembers(
    toAddress: string,
    buckets: number[],
    isReply: boolean,
  ): OutgoingMessage {
    const updates = this.listUpdates().filter(update =>
      buckets.includes(bucketOf(update.nodeName)),
    );
    return {
      toAddress,
      message: {type: 'sync-members', buckets, updates, isReply},
    };
  }

  /**
   * Guards against running members being dropped after a partition heals, when
   * the other side still lists them as gone: a probe verifies each report.
   */
  private needsVerification(update: MemberUpdate): boolean {
    const member = this.gossip.table.get(update.nodeName);
    const isUnverified =
      update.status === 'gone' &&
      member !== undefined &&
      member.status !== 'gone' &&
      !this.gossip.isSelf(update.nodeName);
    if (isUnverified) this.onGoneReport(update.nodeName, update);
    return isUnverified;
  }

  private listUpdates(): MemberUpdate[] {
    return this.gossip.table.listUpdates();
  }
}

function paginate<T>(items: readonly T[], pageSize: number): T[][] {
  const pageCount = Math.ceil(items.length / pageSize);
  return Array.from({length: pageCount}, (_, page) =>
    items.slice(page * pageSize, (page + 1) * pageSize),
  );
}
