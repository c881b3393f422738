/** Joins through seeds and compares whole lists now and then. */
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
  digestAll,
  digestBuckets,
  listDifferent,
} from './member_digests.js';
import {type MessageOf, type OutgoingMessage} from './messages.js';
import {type MembershipOptions} from './options.js';
import {pickSome} from './random_choice.js';
import {Schedule} from './schedule.js';

const RECORDS_PER_PAGE = 50;
const BUCKETS_PER_PAGE = 16;
/** How many members' details are asked for at once. */
const MAX_DETAILS_COUNT = 100;
/** How often the peer of a comparison is of another region. */
const OTHER_REGION_SHARE = 0.5;

/** Told of members that others hold for gone and this node does not. */
export type DoubtListener = (nodeName: string, rumor: MemberUpdate) => void;

/** Exchanges lists of members, whole at first and then by digest. */
export class ListExchange {
  /** Whether a seed has answered, or there is none to ask. */
  isJoined = true;
  private seeds: string[] = [];
  private nextJoinMs = 0;
  private readonly syncRound: Schedule;
  private readonly seedRound: Schedule;

  constructor(
    private readonly gossip: Gossip,
    private readonly options: MembershipOptions,
    private readonly random: RandomSource,
    private readonly onDoubt: DoubtListener,
  ) {
    this.syncRound = new Schedule(options.syncPeriodMs, random);
    this.seedRound = new Schedule(options.seedPeriodMs, random);
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

  /** Begins to compare lists with the node at an address. */
  makeSync(toAddress: string): OutgoingMessage {
    const digest = digestAll(digestBuckets(this.listUpdates()));
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
    const isOutdone = members.some(member => this.outdo(member, nowMs));
    return isOutdone ? [this.makeJoin(fromAddress)] : [];
  }

  receiveSync(
    fromAddress: string,
    {digest}: MessageOf<'sync'>,
  ): OutgoingMessage[] {
    const digests = digestBuckets(this.listUpdates());
    if (digestAll(digests) === digest) return [];
    return [{toAddress: fromAddress, message: {type: 'sync-digests', digests}}];
  }

  receiveSyncDigests(
    fromAddress: string,
    {digests}: MessageOf<'sync-digests'>,
  ): OutgoingMessage[] {
    const own = digestBuckets(this.listUpdates());
    return paginate(listDifferent(own, digests), BUCKETS_PER_PAGE).map(
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
    const believed = updates.filter(update => !this.isDoubtful(update));
    return [
      ...reply,
      ...this.gossip.applyUpdates(fromAddress, believed, nowMs),
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
    return pickSome(this.random, this.seeds, this.options.joinSeedCount).map(
      seed => this.makeJoin(seed),
    );
  }

  private makeJoin(toAddress: string): OutgoingMessage {
    const member = toRecord(this.gossip.self);
    return {toAddress, message: {type: 'join', member}};
  }

  /**
   * Guards against a replaced node being ignored because the wall clock of
   * its host is behind that of the one before: the others would hold the new
   * life for the older one. While it joins, it starts its life above.
   */
  private outdo(record: MemberRecord, nowMs: number): boolean {
    const {self} = this.gossip;
    const isOutdone =
      record.nodeName === self.nodeName &&
      record.incarnation !== self.incarnation &&
      record.startedAtMs >= self.startedAtMs;
    if (!isOutdone) return false;
    this.gossip.announceSelf({startedAtMs: record.startedAtMs + 1}, nowMs);
    return true;
  }

  private syncWithPeer(nowMs: number): OutgoingMessage[] {
    if (!this.syncRound.isDue(nowMs)) return [];
    const peer = this.pickSyncPeer();
    return peer ? [this.makeSync(peer.peerAddress)] : [];
  }

  private pickSyncPeer(): Member | undefined {
    const peers = this.gossip.table
      .listPresent()
      .filter(member => !this.gossip.isSelf(member.nodeName));
    const others = peers.filter(
      member => member.region !== this.gossip.self.region,
    );
    const isElsewhere =
      others.length > 0 && this.random.nextFraction() < OTHER_REGION_SHARE;
    return pickOne(this.random, isElsewhere ? others : peers);
  }

  /**
   * Guards against groups that never heard of each other, as when all nodes
   * start at once and each joins through another seed.
   */
  private syncWithSeed(nowMs: number): OutgoingMessage[] {
    if (!this.seedRound.isDue(nowMs)) return [];
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
   * Guards against a healed cut ending members that are well: the other side
   * held all of this side for gone. Such a word is checked by a probe first.
   */
  private isDoubtful(update: MemberUpdate): boolean {
    const member = this.gossip.table.get(update.nodeName);
    const isDoubtful =
      update.status === 'gone' &&
      member !== undefined &&
      member.status !== 'gone' &&
      !this.gossip.isSelf(update.nodeName);
    if (isDoubtful) this.onDoubt(update.nodeName, update);
    return isDoubtful;
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
