/**
 * SWIM-style cluster membership and failure detection. The member list may be
 * stale or wrong, so no correctness guarantee may depend on it.
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

/** A node's state in the platform's host list, which may lag behind. */
export interface MembershipHint {
  nodeName: string;
  state: 'leaving' | 'gone';
}

/**
 * One node's view of the membership, without sockets or timers of its own: the
 * caller sends the returned messages and calls `tick` about every 100 ms. All
 * times are milliseconds of one monotonic clock.
 */
export class Membership {
  private readonly options: MembershipOptions;
  private readonly gossip: Gossip;
  private readonly probing: Probing;
  private readonly listExchange: ListExchange;
  private lastTickMs: number | null = null;

  constructor(
    self: MemberInfo,
    options: Partial<MembershipOptions>,
    random: RandomSource,
  ) {
    this.options = {...DEFAULT_MEMBERSHIP_OPTIONS, ...options};
    this.gossip = new Gossip(self, this.options);
    this.probing = new Probing(this.gossip, this.options, random);
    this.listExchange = new ListExchange(
      this.gossip,
      this.options,
      random,
      (nodeName, report) => this.probing.verifyGoneReport(nodeName, report),
    );
  }

  /** Increases with every visible change of `list`. */
  get version(): number {
    return this.gossip.table.version;
  }

  /** This node's own entry, as announced to other members. */
  get self(): Member {
    return this.gossip.self;
  }

  /** True once a seed has answered, or if there are no other seeds. */
  get isJoined(): boolean {
    return this.listExchange.isJoined;
  }

  /** All members, including this node and recently gone ones. */
  list(): Member[] {
    return this.gossip.table.list();
  }

  /** The members that may receive new work, including this node. */
  listUsable(): Member[] {
    return this.list().filter(
      ({status}) => status === 'alive' || status === 'suspect',
    );
  }

  /** Announces this node to the seeds; `tick` retries until one answers. */
  join(seedAddresses: readonly string[], nowMs: number): OutgoingMessage[] {
    return this.listExchange.join(seedAddresses, nowMs);
  }

  tick(nowMs: number): OutgoingMessage[] {
    this.compensateForPause(nowMs);
    this.gossip.table.expire(nowMs);
    return [...this.probing.tick(nowMs), ...this.listExchange.tick(nowMs)];
  }

  /** Handles a message already validated by `membershipMessageSchema`. */
  receive(
    fromAddress: string,
    message: MembershipMessage,
    nowMs: number,
  ): OutgoingMessage[] {
    const before = this.gossip.table.findByAddress(fromAddress);
    const replies = this.dispatch(fromAddress, message, nowMs);
    const after = this.gossip.table.findByAddress(fromAddress);
    const hasRejoined = before?.status === 'gone' && after?.status !== 'gone';
    const isUnknownProber = message.type === 'probe' && after === undefined;
    return hasRejoined || isUnknownProber
      ? [...replies, this.listExchange.makeSync(fromAddress)]
      : replies;
  }

  /** Announces that this node is shutting down; it still answers probes. */
  leave(nowMs: number): OutgoingMessage[] {
    this.gossip.announceSelf({status: 'leaving'}, nowMs);
    return this.broadcastLeave(this.gossip.self.nodeName, null);
  }

  /**
   * Applies a hint from the platform's host list. A `leaving` hint affects
   * this node's view only and expires after `hintTtlMs`. A `gone` hint
   * triggers a probe, because it may refer to a previous host of that name.
   */
  applyHint({nodeName, state}: MembershipHint, nowMs: number): void {
    if (state === 'gone') this.probing.verifyGoneReport(nodeName, null);
    else {
      this.gossip.table.hintLeaving(nodeName, nowMs + this.options.hintTtlMs);
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
          ...this.receiveProbeMessage(fromAddress, message, nowMs),
        ];
      case 'join':
        return this.listExchange.receiveJoin(fromAddress, message, nowMs);
      case 'join-ack':
        return this.listExchange.receiveJoinAck(fromAddress, message, nowMs);
      case 'leave':
        return this.receiveLeave(fromAddress, message, nowMs);
      case 'sync':
        return this.listExchange.receiveSync(fromAddress, message);
      case 'sync-digests':
        return this.listExchange.receiveSyncDigests(fromAddress, message);
      case 'sync-members':
        return this.listExchange.receiveSyncMembers(
          fromAddress,
          message,
          nowMs,
        );
      case 'details-request':
        return this.listExchange.receiveDetailsRequest(fromAddress, message);
      case 'details':
        this.listExchange.receiveDetails(message, nowMs);
        return [];
    }
  }

  private receiveProbeMessage(
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
          : [...replies, this.listExchange.makeSync(replacedAddress)];
      }
    }
  }

  /** Forwards a leave on first receipt, to reach all members quickly. */
  private receiveLeave(
    fromAddress: string,
    {update}: MessageOf<'leave'>,
    nowMs: number,
  ): OutgoingMessage[] {
    const outcome = this.gossip.applyUpdate(update, nowMs);
    return outcome === 'applied'
      ? this.broadcastLeave(update.nodeName, fromAddress)
      : [];
  }

  private broadcastLeave(
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
   * Guards against a node declaring its peers gone after its own process was
   * paused, when acknowledgements are still unread: drops pending probes and
   * extends the suspicion timeouts by the length of the pause.
   */
  private compensateForPause(nowMs: number): void {
    const pauseMs = this.lastTickMs === null ? 0 : nowMs - this.lastTickMs;
    this.lastTickMs = nowMs;
    const {probeTimeoutMs, indirectTimeoutMs} = this.options;
    if (pauseMs >= probeTimeoutMs + indirectTimeoutMs) {
      this.probing.handlePause(pauseMs);
    }
  }
}
