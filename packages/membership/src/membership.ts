/**
 * Which nodes are there. SWIM-like: each node probes a few peers, suspects
 * before it gives up, and news rides on the probes. Everything here is a hint
 * that may be late or wrong; no promise of the system depends on it.
 */
import {type RandomSource} from '@mimosatack/random';
import {Gossip} from './gossip.js';
import {ListExchange} from './list_exchange.js';
import {type Member, type MemberInfo, toUpdate} from './member.js';
import {
  type MembershipMessage,
  type MessageOf,
  type OutgoingMessage,
} from './messages.js';
import {DEFAULT_MEMBERSHIP_OPTIONS, type MembershipOptions} from './options.js';
import {Probing} from './probing.js';

/** What the platform's lagging host list says of a node. */
export interface MembershipHint {
  nodeName: string;
  state: 'leaving' | 'gone';
}

/**
 * The membership as one node sees it. It owns no socket and no timer: the
 * caller passes the time, sends what is returned, and calls `tick` about
 * every 100 ms. Times are milliseconds of one clock that never goes back.
 */
export class Membership {
  private readonly options: MembershipOptions;
  private readonly gossip: Gossip;
  private readonly probing: Probing;
  private readonly lists: ListExchange;
  private lastTickMs: number | null = null;

  constructor(
    self: MemberInfo,
    options: Partial<MembershipOptions>,
    random: RandomSource,
  ) {
    this.options = {...DEFAULT_MEMBERSHIP_OPTIONS, ...options};
    this.gossip = new Gossip(self, this.options);
    this.probing = new Probing(this.gossip, this.options, random);
    this.lists = new ListExchange(
      this.gossip,
      this.options,
      random,
      (nodeName, rumor) => this.probing.doubt(nodeName, rumor),
    );
  }

  /** Grows with every change of what `list` shows. */
  get version(): number {
    return this.gossip.table.version;
  }

  /** This node as the others are told of it. */
  get self(): Member {
    return this.gossip.self;
  }

  /** Whether a seed has answered, or there is none to ask. */
  get isJoined(): boolean {
    return this.lists.isJoined;
  }

  /** All members, this node and those lately gone included. */
  list(): Member[] {
    return this.gossip.table.list();
  }

  /** The members that new work may be given to, this node included. */
  listUsable(): Member[] {
    return this.list().filter(
      ({status}) => status === 'alive' || status === 'suspect',
    );
  }

  /** Makes this node known; repeated by `tick` until a seed answers. */
  join(seedAddresses: readonly string[], nowMs: number): OutgoingMessage[] {
    return this.lists.join(seedAddresses, nowMs);
  }

  tick(nowMs: number): OutgoingMessage[] {
    this.forgetPause(nowMs);
    this.gossip.table.expire(nowMs);
    return [...this.probing.tick(nowMs), ...this.lists.tick(nowMs)];
  }

  /** Takes in a message that `membershipMessageSchema` has let through. */
  receive(
    fromAddress: string,
    message: MembershipMessage,
    nowMs: number,
  ): OutgoingMessage[] {
    const before = this.gossip.table.findByAddress(fromAddress);
    const replies = this.dispatch(fromAddress, message, nowMs);
    const after = this.gossip.table.findByAddress(fromAddress);
    const isBack = before?.status === 'gone' && after?.status !== 'gone';
    const isStranger = message.type === 'probe' && after === undefined;
    return isBack || isStranger
      ? [...replies, this.lists.makeSync(fromAddress)]
      : replies;
  }

  /** Tells at once that this node shuts down; it still answers probes. */
  leave(nowMs: number): OutgoingMessage[] {
    this.gossip.announceSelf({status: 'leaving'}, nowMs);
    return this.spreadLeave(this.gossip.self.nodeName, null);
  }

  /**
   * Takes a hint of the platform's host list. `leaving` holds for a while on
   * this node only. `gone` is checked by a probe, as the list may lag and
   * mean an earlier host of that name.
   */
  noteHint({nodeName, state}: MembershipHint, nowMs: number): void {
    if (state === 'gone') this.probing.doubt(nodeName, null);
    else {
      this.gossip.table.hintLeaving(nodeName, nowMs + this.options.hintKeepMs);
    }
  }

  private dispatch(
    fromAddress: string,
    message: MembershipMessage,
    nowMs: number,
  ): OutgoingMessage[] {
    switch (message.type) {
      case 'probe':
      case 'probe-ack':
      case 'probe-request':
        return [
          ...this.gossip.applyUpdates(fromAddress, message.updates, nowMs),
          ...this.receiveProbing(fromAddress, message, nowMs),
        ];
      case 'join':
        return this.lists.receiveJoin(fromAddress, message, nowMs);
      case 'join-ack':
        return this.lists.receiveJoinAck(fromAddress, message, nowMs);
      case 'leave':
        return this.receiveLeave(fromAddress, message, nowMs);
      case 'sync':
        return this.lists.receiveSync(fromAddress, message);
      case 'sync-digests':
        return this.lists.receiveSyncDigests(fromAddress, message);
      case 'sync-members':
        return this.lists.receiveSyncMembers(fromAddress, message, nowMs);
      case 'details-request':
        return this.lists.receiveDetailsRequest(fromAddress, message);
      case 'details':
        this.lists.receiveDetails(message, nowMs);
        return [];
    }
  }

  private receiveProbing(
    fromAddress: string,
    message: MessageOf<'probe' | 'probe-ack' | 'probe-request'>,
    nowMs: number,
  ): OutgoingMessage[] {
    switch (message.type) {
      case 'probe':
        return this.probing.receiveProbe(fromAddress, message);
      case 'probe-request':
        return this.probing.receiveProbeRequest(fromAddress, message, nowMs);
      case 'probe-ack': {
        const {replies, replacedAddress} = this.probing.receiveAck(
          message,
          nowMs,
        );
        return replacedAddress === null
          ? replies
          : [...replies, this.lists.makeSync(replacedAddress)];
      }
    }
  }

  /** Passes a leave on the first time it is heard, to reach all at once. */
  private receiveLeave(
    fromAddress: string,
    {update}: MessageOf<'leave'>,
    nowMs: number,
  ): OutgoingMessage[] {
    const outcome = this.gossip.applyUpdate(update, nowMs);
    return outcome === 'news'
      ? this.spreadLeave(update.nodeName, fromAddress)
      : [];
  }

  private spreadLeave(
    nodeName: string,
    exceptAddress: string | null,
  ): OutgoingMessage[] {
    const member = this.gossip.table.get(nodeName);
    if (!member) return [];
    return this.probing
      .listTargets()
      .filter(target => target.nodeName !== nodeName)
      .filter(target => target.peerAddress !== exceptAddress)
      .map(target => ({
        toAddress: target.peerAddress,
        message: {type: 'leave', update: toUpdate(member)},
      }));
  }

  /**
   * Guards against a node that was frozen taking the others for dead: after
   * the thaw its open probes look unanswered, though it only could not read
   * the answers. It forgets those probes and gives suspects more time.
   */
  private forgetPause(nowMs: number): void {
    const pauseMs = this.lastTickMs === null ? 0 : nowMs - this.lastTickMs;
    this.lastTickMs = nowMs;
    const {probeTimeoutMs, indirectTimeoutMs} = this.options;
    if (pauseMs >= probeTimeoutMs + indirectTimeoutMs) {
      this.probing.forgetPause(pauseMs);
    }
  }
}
