/** Probes a few peers in turn and finds those that do not answer. */
import {type RandomSource, pickOne} from '@mimosatack/random';
import {type Gossip} from './gossip.js';
import {type Member, type MemberUpdate, isNewer} from './member.js';
import {type MessageOf, type OutgoingMessage} from './messages.js';
import {type MembershipOptions} from './options.js';
import {makeProbe, makeProbeAck, makeProbeRequest} from './probe_messages.js';
import {listProbeTargets} from './probe_targets.js';
import {type PendingProbe, ProbeTracker} from './probe_tracker.js';
import {pickSome, shuffle} from './random_choice.js';
import {Schedule} from './schedule.js';

/** The last first sequence number; a process starts at a random one. */
const MAX_FIRST_SEQUENCE = 2 ** 30;

/** After how many periods without any answer a node doubts itself. */
const ISOLATED_PERIOD_COUNT = 2;

/** What a probe is made for, beyond the usual round. */
interface ProbeReason {
  /** Others say that the target is gone. */
  isDoubted: boolean;
  /** What they say, told to the target so that it can refute. */
  rumors: readonly MemberUpdate[];
}

const USUAL_ROUND: ProbeReason = {isDoubted: false, rumors: []};

/** Sends, answers and relays probes. */
export class Probing {
  private readonly tracker: ProbeTracker;
  /** Peers still to be probed in this round. */
  private turn: string[] = [];
  /** Members said to be gone, with what was said, to be probed soon. */
  private readonly doubts = new Map<string, MemberUpdate | null>();
  /** When a probe of this node was last answered. */
  private lastAckMs: number | null = null;
  private readonly usualRound: Schedule;
  private readonly lostRound: Schedule;

  /**
   * Sequence numbers start at random, so that an answer to an earlier process
   * at this address is not taken for one to this process.
   */
  constructor(
    private readonly gossip: Gossip,
    private readonly options: MembershipOptions,
    private readonly random: RandomSource,
  ) {
    this.tracker = new ProbeTracker(random.nextInt(0, MAX_FIRST_SEQUENCE));
    this.usualRound = new Schedule(options.probePeriodMs, random);
    this.lostRound = new Schedule(options.goneProbePeriodMs, random);
  }

  tick(nowMs: number): OutgoingMessage[] {
    this.tracker.dropRelayed(nowMs);
    this.declareOverdue(nowMs);
    return [
      ...this.tracker
        .listOverdue(nowMs)
        .flatMap(probe => this.endPhase(probe, nowMs)),
      ...this.spreadUrgent(nowMs),
      ...this.probeDoubted(nowMs),
      ...this.probeNext(nowMs),
      ...this.probeLost(nowMs),
    ];
  }

  /** Forgets open probes and gives suspects more time. */
  forgetPause(pauseMs: number): void {
    this.tracker.clear();
    this.gossip.table.prolongSuspicions(pauseMs);
  }

  /** The peers that this node probes in turn. */
  listTargets(): Member[] {
    return listProbeTargets(
      this.gossip.self.nodeName,
      this.gossip.table.listPresent(),
      this.options.minProbeTargetCount,
    );
  }

  /** Has a member probed soon that is said to be gone. */
  doubt(nodeName: string, rumor: MemberUpdate | null): void {
    if (this.gossip.isSelf(nodeName)) return;
    if (!this.doubts.has(nodeName)) this.doubts.set(nodeName, rumor);
  }

  receiveProbe(
    fromAddress: string,
    {sequence}: MessageOf<'probe'>,
  ): OutgoingMessage[] {
    const {startedAtMs} = this.gossip.self;
    return [makeProbeAck(this.gossip, fromAddress, sequence, startedAtMs)];
  }

  receiveProbeRequest(
    fromAddress: string,
    message: MessageOf<'probe-request'>,
    nowMs: number,
  ): OutgoingMessage[] {
    const sequence = this.tracker.addRelayed({
      requesterAddress: fromAddress,
      requesterSequence: message.sequence,
      deadlineMs: nowMs + this.options.indirectTimeoutMs,
    });
    return sequence === null
      ? []
      : [makeProbe(this.gossip, message.targetAddress, sequence)];
  }

  receiveAck(
    message: MessageOf<'probe-ack'>,
    nowMs: number,
  ): {replies: OutgoingMessage[]; replacedAddress: string | null} {
    const {sequence, startedAtMs} = message;
    const relayed = this.tracker.takeRelayed(sequence);
    if (relayed) {
      const {requesterAddress, requesterSequence} = relayed;
      const ack = makeProbeAck(
        this.gossip,
        requesterAddress,
        requesterSequence,
        startedAtMs,
      );
      return {replies: [ack], replacedAddress: null};
    }
    this.lastAckMs = nowMs;
    const probe = this.tracker.takePending(sequence);
    const isReplaced =
      probe !== undefined && this.declareReplaced(probe, startedAtMs, nowMs);
    return {
      replies: [],
      replacedAddress: isReplaced ? probe.targetAddress : null,
    };
  }

  /**
   * Guards against a dead node being taken for alive because its successor
   * answers at the same address: the answer names the life that gave it.
   */
  private declareReplaced(
    probe: PendingProbe,
    startedAtMs: number,
    nowMs: number,
  ): boolean {
    if (probe.startedAtMs === startedAtMs) return false;
    if (this.findProbed(probe)) {
      this.gossip.declare(probe.nodeName, 'gone', nowMs);
    }
    return true;
  }

  /**
   * Guards against a node that is cut off by itself taking all others for
   * dead and, once it is back, spreading that: while nobody answers it, it
   * gives them more time.
   */
  private declareOverdue(nowMs: number): void {
    const {probePeriodMs, isolationGraceMs} = this.options;
    const silentMs = nowMs - (this.lastAckMs ?? nowMs);
    const isIsolated = silentMs > ISOLATED_PERIOD_COUNT * probePeriodMs;
    this.gossip.table
      .listOverdue(isIsolated ? nowMs - isolationGraceMs : nowMs)
      .forEach(member => this.gossip.declare(member.nodeName, 'gone', nowMs));
  }

  private endPhase(probe: PendingProbe, nowMs: number): OutgoingMessage[] {
    return probe.phase === 'direct'
      ? this.askOthers(probe, nowMs)
      : this.fail(probe, nowMs);
  }

  /**
   * Guards against one lost message, or a broken path between two nodes,
   * looking like a dead node: others probe it too, and it is probed again.
   */
  private askOthers(probe: PendingProbe, nowMs: number): OutgoingMessage[] {
    const {sequence, targetAddress} = probe;
    probe.phase = 'indirect';
    probe.deadlineMs = nowMs + this.options.indirectTimeoutMs;
    const helpers = this.gossip.table
      .listPresent()
      .filter(member => member.status === 'alive')
      .filter(member => !this.gossip.isSelf(member.nodeName))
      .filter(member => member.nodeName !== probe.nodeName);
    const requests = pickSome(
      this.random,
      helpers,
      this.options.indirectProbeCount,
    ).map(({peerAddress}) =>
      makeProbeRequest(this.gossip, peerAddress, sequence, targetAddress),
    );
    return [makeProbe(this.gossip, targetAddress, sequence), ...requests];
  }

  private fail(probe: PendingProbe, nowMs: number): OutgoingMessage[] {
    this.tracker.takePending(probe.sequence);
    const member = this.findProbed(probe);
    if (!member) return [];
    if (probe.isDoubted || member.status === 'leaving') {
      this.gossip.declare(member.nodeName, 'gone', nowMs);
      return [];
    }
    if (member.status !== 'alive') return [];
    this.gossip.declare(member.nodeName, 'suspect', nowMs);
    this.gossip.hurry(member.nodeName);
    return [];
  }

  /** The member that was probed, if it still is the same life and not gone. */
  private findProbed(probe: PendingProbe): Member | undefined {
    const member = this.gossip.table.get(probe.nodeName);
    const isSame = member?.startedAtMs === probe.startedAtMs;
    return isSame && member.status !== 'gone' ? member : undefined;
  }

  private probeNext(nowMs: number): OutgoingMessage[] {
    if (!this.usualRound.isDue(nowMs)) return [];
    const member = this.takeTurn();
    return member ? [this.probe(member, nowMs)] : [];
  }

  private takeTurn(): Member | undefined {
    if (this.turn.length === 0) {
      const names = this.listTargets().map(member => member.nodeName);
      this.turn = shuffle(this.random, names);
    }
    const isDue = (nodeName: string) =>
      this.isPresent(nodeName) && !this.tracker.isProbing(nodeName);
    const index = this.turn.findIndex(isDue);
    const [nodeName] = index < 0 ? [] : this.turn.splice(index, 1);
    if (nodeName === undefined) this.turn = [];
    return nodeName === undefined ? undefined : this.gossip.table.get(nodeName);
  }

  private isPresent(nodeName: string): boolean {
    const status = this.gossip.table.get(nodeName)?.status;
    return status !== undefined && status !== 'gone';
  }

  /** Tells all peers that this node probes what must not wait. */
  private spreadUrgent(nowMs: number): OutgoingMessage[] {
    const rumors = this.gossip.takeUrgent();
    if (rumors.length === 0) return [];
    return this.listTargets().map(member =>
      this.probe(member, nowMs, {isDoubted: false, rumors}),
    );
  }

  /** One doubted member a call, so that many doubts make no burst. */
  private probeDoubted(nowMs: number): OutgoingMessage[] {
    const [doubt] = this.doubts;
    if (!doubt) return [];
    const [nodeName, rumor] = doubt;
    this.doubts.delete(nodeName);
    const member = this.gossip.table.get(nodeName);
    const isSettled =
      !member ||
      member.status === 'gone' ||
      this.tracker.isProbing(nodeName) ||
      (rumor !== null && !isNewer(rumor, member));
    if (isSettled) return [];
    const rumors = rumor === null ? [] : [rumor];
    return [this.probe(member, nowMs, {isDoubted: true, rumors})];
  }

  /**
   * Guards against two regions staying apart after a cut: each side holds the
   * other for gone and would never talk to it again. A lost member that
   * answers hears that it is held for gone, refutes, and is listed again.
   */
  private probeLost(nowMs: number): OutgoingMessage[] {
    if (!this.lostRound.isDue(nowMs)) return [];
    const member = pickOne(this.random, this.gossip.table.listLost());
    return member ? [this.probe(member, nowMs)] : [];
  }

  private probe(
    member: Member,
    nowMs: number,
    {isDoubted, rumors}: ProbeReason = USUAL_ROUND,
  ): OutgoingMessage {
    const {sequence} = this.tracker.add({
      nodeName: member.nodeName,
      startedAtMs: member.startedAtMs,
      targetAddress: member.peerAddress,
      deadlineMs: nowMs + this.options.probeTimeoutMs,
      isDoubted,
    });
    return makeProbe(this.gossip, member.peerAddress, sequence, rumors);
  }
}
