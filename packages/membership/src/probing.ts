/** Failure detection by direct and indirect probes. */
import {type RandomSource, pickOne} from '@mimosatack/random';
import {type Gossip} from './gossip.js';
import {type Member, type MemberUpdate, isNewer} from './member.js';
import {type MessageOf, type OutgoingMessage} from './messages.js';
import {type MembershipOptions} from './options.js';
import {makeProbe, makeProbeAck, makeProbeRequest} from './probe_messages.js';
import {listProbeTargets} from './probe_targets.js';
import {type PendingProbe, ProbeTracker} from './probe_tracker.js';
import {pickSample, shuffle} from './random_choice.js';
import {Schedule} from './schedule.js';

/** Upper bound of the random first sequence number. */
const MAX_FIRST_SEQUENCE = 2 ** 30;

/** Probe periods without an acknowledgement after which a node is isolated. */
const ISOLATION_PERIOD_COUNT = 2;

interface ProbeOptions {
  /** Whether the probe checks a report that the target is gone. */
  verifiesGoneReport: boolean;
  /** Updates to send first, such as a report for the target to refute. */
  leadingUpdates: readonly MemberUpdate[];
}

const REGULAR_PROBE: ProbeOptions = {
  verifiesGoneReport: false,
  leadingUpdates: [],
};

export class Probing {
  private readonly tracker: ProbeTracker;
  /** Targets not yet probed in this rotation. */
  private remainingTargets: string[] = [];
  /** Members reported gone, by name, to be verified by a probe. */
  private readonly goneReports = new Map<string, MemberUpdate | null>();
  private lastAckMs: number | null = null;
  private readonly probeSchedule: Schedule;
  private readonly unreachableProbeSchedule: Schedule;

  /**
   * Sequence numbers start at random, so that an acknowledgement meant for a
   * previous process at this address matches no probe of this process.
   */
  constructor(
    private readonly gossip: Gossip,
    private readonly options: MembershipOptions,
    private readonly random: RandomSource,
  ) {
    this.tracker = new ProbeTracker(random.nextInt(0, MAX_FIRST_SEQUENCE));
    this.probeSchedule = new Schedule(options.probePeriodMs, random);
    this.unreachableProbeSchedule = new Schedule(
      options.goneProbePeriodMs,
      random,
    );
  }

  tick(nowMs: number): OutgoingMessage[] {
    this.tracker.dropExpiredRelayed(nowMs);
    this.declareExpiredSuspects(nowMs);
    return [
      ...this.tracker
        .listTimedOut(nowMs)
        .flatMap(probe => this.handleTimeout(probe, nowMs)),
      ...this.spreadUrgent(nowMs),
      ...this.probeReportedGone(nowMs),
      ...this.probeNext(nowMs),
      ...this.probeUnreachable(nowMs),
    ];
  }

  /** Drops pending probes and extends the suspicion timeouts. */
  handlePause(pauseMs: number): void {
    this.tracker.clear();
    this.gossip.table.extendSuspicions(pauseMs);
  }

  /** The peers that this node probes in rotation. */
  listTargets(): Member[] {
    return listProbeTargets(
      this.gossip.self.nodeName,
      this.gossip.table.listPresent(),
      this.options.minProbeTargetCount,
    );
  }

  /** Queues a probe of a member that was reported gone. */
  verifyGoneReport(nodeName: string, report: MemberUpdate | null): void {
    if (this.gossip.isSelf(nodeName)) return;
    if (!this.goneReports.has(nodeName)) this.goneReports.set(nodeName, report);
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
   * Guards against a crashed node being listed as alive because its replacement
   * answers at the same address: compares the start times of the processes.
   */
  private declareReplaced(
    probe: PendingProbe,
    startedAtMs: number,
    nowMs: number,
  ): boolean {
    if (probe.startedAtMs === startedAtMs) return false;
    if (this.findProbed(probe)) {
      this.gossip.declareStatus(probe.nodeName, 'gone', nowMs);
    }
    return true;
  }

  /**
   * Guards against an isolated node declaring all others gone and gossiping it
   * on reconnection: isolation extends the suspicion timeout.
   */
  private declareExpiredSuspects(nowMs: number): void {
    const {probePeriodMs, isolationGraceMs} = this.options;
    const sinceLastAckMs = nowMs - (this.lastAckMs ?? nowMs);
    const isIsolated = sinceLastAckMs > ISOLATION_PERIOD_COUNT * probePeriodMs;
    this.gossip.table
      .listExpiredSuspects(isIsolated ? nowMs - isolationGraceMs : nowMs)
      .forEach(member =>
        this.gossip.declareStatus(member.nodeName, 'gone', nowMs),
      );
  }

  private handleTimeout(probe: PendingProbe, nowMs: number): OutgoingMessage[] {
    return probe.phase === 'direct'
      ? this.probeIndirectly(probe, nowMs)
      : this.handleFailure(probe, nowMs);
  }

  /**
   * Guards against a false suspicion after one lost message or a broken path
   * between two nodes: retries the probe directly and through relays.
   */
  private probeIndirectly(
    probe: PendingProbe,
    nowMs: number,
  ): OutgoingMessage[] {
    const {sequence, targetAddress} = probe;
    probe.phase = 'indirect';
    probe.deadlineMs = nowMs + this.options.indirectTimeoutMs;
    const relays = this.gossip.table
      .listPresent()
      .filter(member => member.status === 'alive')
      .filter(member => !this.gossip.isSelf(member.nodeName))
      .filter(member => member.nodeName !== probe.nodeName);
    const requests = pickSample(
      this.random,
      relays,
      this.options.indirectProbeCount,
    ).map(({peerAddress}) =>
      makeProbeRequest(this.gossip, peerAddress, sequence, targetAddress),
    );
    return [makeProbe(this.gossip, targetAddress, sequence), ...requests];
  }

  private handleFailure(probe: PendingProbe, nowMs: number): OutgoingMessage[] {
    this.tracker.takePending(probe.sequence);
    const member = this.findProbed(probe);
    if (!member) return [];
    if (probe.verifiesGoneReport || member.status === 'leaving') {
      this.gossip.declareStatus(member.nodeName, 'gone', nowMs);
      return [];
    }
    if (member.status !== 'alive') return [];
    this.gossip.declareStatus(member.nodeName, 'suspect', nowMs);
    this.gossip.markUrgent(member.nodeName);
    return [];
  }

  /** Returns the probed member unless it was replaced or is gone. */
  private findProbed(probe: PendingProbe): Member | undefined {
    const member = this.gossip.table.get(probe.nodeName);
    const isSame = member?.startedAtMs === probe.startedAtMs;
    return isSame && member.status !== 'gone' ? member : undefined;
  }

  private probeNext(nowMs: number): OutgoingMessage[] {
    if (!this.probeSchedule.isDue(nowMs)) return [];
    const member = this.takeNextTarget();
    return member ? [this.probe(member, nowMs)] : [];
  }

  private takeNextTarget(): Member | undefined {
    if (this.remainingTargets.length === 0) {
      const names = this.listTargets().map(member => member.nodeName);
      this.remainingTargets = shuffle(this.random, names);
    }
    const isDue = (nodeName: string) =>
      this.isPresent(nodeName) && !this.tracker.isProbing(nodeName);
    const index = this.remainingTargets.findIndex(isDue);
    const [nodeName] = index < 0 ? [] : this.remainingTargets.splice(index, 1);
    if (nodeName === undefined) this.remainingTargets = [];
    return nodeName === undefined ? undefined : this.gossip.table.get(nodeName);
  }

  private isPresent(nodeName: string): boolean {
    const status = this.gossip.table.get(nodeName)?.status;
    return status !== undefined && status !== 'gone';
  }

  /** Probes all targets at once to deliver the urgent updates. */
  private spreadUrgent(nowMs: number): OutgoingMessage[] {
    const leadingUpdates = this.gossip.takeUrgent();
    if (leadingUpdates.length === 0) return [];
    return this.listTargets().map(member =>
      this.probe(member, nowMs, {verifiesGoneReport: false, leadingUpdates}),
    );
  }

  /** Verifies one reported member per call, to avoid bursts of probes. */
  private probeReportedGone(nowMs: number): OutgoingMessage[] {
    const [next] = this.goneReports;
    if (!next) return [];
    const [nodeName, report] = next;
    this.goneReports.delete(nodeName);
    const member = this.gossip.table.get(nodeName);
    const isSettled =
      !member ||
      member.status === 'gone' ||
      this.tracker.isProbing(nodeName) ||
      (report !== null && !isNewer(report, member));
    if (isSettled) return [];
    const leadingUpdates = report === null ? [] : [report];
    return [
      this.probe(member, nowMs, {verifiesGoneReport: true, leadingUpdates}),
    ];
  }

  /**
   * Guards against regions staying separated after a partition heals, when each
   * lists the other as gone: the probe delivers the report to be refuted.
   */
  private probeUnreachable(nowMs: number): OutgoingMessage[] {
    if (!this.unreachableProbeSchedule.isDue(nowMs)) return [];
    const member = pickOne(this.random, this.gossip.table.listUnreachable());
    return member ? [this.probe(member, nowMs)] : [];
  }

  private probe(
    member: Member,
    nowMs: number,
    {verifiesGoneReport, leadingUpdates}: ProbeOptions = REGULAR_PROBE,
  ): OutgoingMessage {
    const {sequence} = this.tracker.add({
      nodeName: member.nodeName,
      startedAtMs: member.startedAtMs,
      targetAddress: member.peerAddress,
      deadlineMs: nowMs + this.options.probeTimeoutMs,
      verifiesGoneReport,
    });
    return makeProbe(this.gossip, member.peerAddress, sequence, leadingUpdates);
  }
}
