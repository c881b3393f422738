/**
 * Which processes of the system are proved dead. Silence proves nothing: a
 * frozen process is silent too and goes on when it is thawed. Proof is that
 * its host is not on the platform's list, or that another process answers at
 * its address; either must hold for so long that its last orders have arrived.
 */
import {type Clock} from '@mimosatack/clock';
import {type Member} from '@mimosatack/membership';
import {type HostEntry, type NodeIncarnation} from '@mimosatack/types';
import {type DeathEvidence} from './steward_task.js';

interface KnownProcess {
  nodeName: string;
  peerAddress: string;
  /** Since when another process has answered at its address. */
  replacedSinceMs: number | null;
}

/**
 * How long a host must be missing that this node never saw on a list: the
 * list lags, and a new host may not be on it yet.
 */
const UNSEEN_SETTLE_MS = 60 * 60 * 1000;

/** How many processes are remembered. */
const MAX_KNOWN = 2_048;

/** The processes that are proved dead, with the proof. */
export class Obituary {
  private readonly known = new Map<NodeIncarnation, KnownProcess>();
  /** Entry hosts on the newest list; null while no list names any. */
  private listed: ReadonlySet<string> | null = null;
  private readonly everListed = new Set<string>();
  private readonly absentSinceMs = new Map<string, number>();

  /** @param settleMs how long a proof must hold before it counts. */
  constructor(
    private readonly clock: Clock,
    private readonly settleMs: number,
  ) {}

  /** Takes in a fresh host list; the name of a node is its host's id there. */
  noteHosts(hosts: readonly HostEntry[]): void {
    const entryIds = hosts
      .filter(host => host.role === 'entry')
      .map(host => host.hostId);
    this.listed = entryIds.length === 0 ? null : new Set(entryIds);
    entryIds.forEach(hostId => {
      this.everListed.add(hostId);
      this.absentSinceMs.delete(hostId);
    });
  }

  noteMembers(members: readonly Member[]): void {
    members.forEach(member => this.noteProcess(member));
    const newest = new Map(members.map(member => [member.nodeName, member]));
    [...this.known.entries()].forEach(([incarnation, process]) => {
      const member = newest.get(process.nodeName);
      const isReplaced =
        member?.status === 'alive' &&
        member.incarnation !== incarnation &&
        member.peerAddress === process.peerAddress;
      if (isReplaced) process.replacedSinceMs ??= this.clock.monotonicMs();
    });
  }

  /** The proof that a process is dead, once it has held for long enough. */
  find(incarnation: NodeIncarnation): DeathEvidence | null {
    const nodeName = readNodeName(incarnation);
    const absenceMs = this.everListed.has(nodeName)
      ? this.settleMs
      : UNSEEN_SETTLE_MS;
    if (this.hasHeld(this.findAbsence(nodeName), absenceMs)) return 'host-gone';
    const replacedSinceMs = this.known.get(incarnation)?.replacedSinceMs;
    return this.hasHeld(replacedSinceMs ?? null, this.settleMs)
      ? 'replaced'
      : null;
  }

  /** Since when the host of a process has been missing from the list. */
  private findAbsence(nodeName: string): number | null {
    if (!this.listed || this.listed.has(nodeName)) return null;
    const sinceMs =
      this.absentSinceMs.get(nodeName) ?? this.clock.monotonicMs();
    this.absentSinceMs.set(nodeName, sinceMs);
    return sinceMs;
  }

  private hasHeld(sinceMs: number | null, forMs: number): boolean {
    return sinceMs !== null && this.clock.monotonicMs() - sinceMs >= forMs;
  }

  private noteProcess(member: Member): void {
    if (this.known.has(member.incarnation)) return;
    this.known.set(member.incarnation, {
      nodeName: member.nodeName,
      peerAddress: member.peerAddress,
      replacedSinceMs: null,
    });
    const [oldest] = this.known.keys();
    if (this.known.size > MAX_KNOWN && oldest) this.known.delete(oldest);
  }
}

/** An incarnation is the node's name and a random part. */
function readNodeName(incarnation: NodeIncarnation): string {
  return incarnation.slice(0, incarnation.lastIndexOf('.'));
}
