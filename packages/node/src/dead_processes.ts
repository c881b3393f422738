/**
 * Collects evidence that processes of the system are dead. Missing replies are
 * no evidence: a paused process does not reply either, and continues when it is
 * resumed. Evidence is that the host of the process is missing from the
 * platform's list, or that another process answers at its address; either must
 * last until the last orders of the process have arrived.
 */
import {type Clock} from '@mimosatack/clock';
import {type Member} from '@mimosatack/membership';
import {type HostEntry, type NodeIncarnation} from '@mimosatack/types';
import {type DeathEvidence} from './steward_task.js';

interface KnownProcess {
  nodeName: string;
  peerAddress: string;
  /** When another process was first seen at the address; null if none was. */
  replacedSinceMs: number | null;
}

/**
 * How long a host that was never listed must be missing: the list lags, and may
 * not name a new host yet.
 */
const UNLISTED_CONFIRM_MS = 60 * 60 * 1000;

const MAX_PROCESSES = 2_048;

export class DeadProcesses {
  private readonly known = new Map<NodeIncarnation, KnownProcess>();
  /** Entry hosts on the newest list; null if that list names none. */
  private listed: ReadonlySet<string> | null = null;
  private readonly everListed = new Set<string>();
  private readonly absentSinceMs = new Map<string, number>();

  /** @param confirmMs how long evidence must last before it counts. */
  constructor(
    private readonly clock: Clock,
    private readonly confirmMs: number,
  ) {}

  /**
   * Reads a new host list, in which the id of an entry host is the node's name.
   */
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

  /** The evidence that a process is dead, once it has lasted long enough. */
  findEvidence(incarnation: NodeIncarnation): DeathEvidence | null {
    const nodeName = readNodeName(incarnation);
    const confirmMs = this.everListed.has(nodeName)
      ? this.confirmMs
      : UNLISTED_CONFIRM_MS;
    if (this.isOlder(this.findAbsence(nodeName), confirmMs)) return 'host-gone';
    const replacedSinceMs = this.known.get(incarnation)?.replacedSinceMs;
    return this.isOlder(replacedSinceMs ?? null, this.confirmMs)
      ? 'replaced'
      : null;
  }

  /**
   * When the host of a process was first missing from the list; null if listed.
   */
  private findAbsence(nodeName: string): number | null {
    if (!this.listed || this.listed.has(nodeName)) return null;
    const sinceMs =
      this.absentSinceMs.get(nodeName) ?? this.clock.monotonicMs();
    this.absentSinceMs.set(nodeName, sinceMs);
    return sinceMs;
  }

  private isOlder(sinceMs: number | null, thanMs: number): boolean {
    return sinceMs !== null && this.clock.monotonicMs() - sinceMs >= thanMs;
  }

  private noteProcess(member: Member): void {
    if (this.known.has(member.incarnation)) return;
    this.known.set(member.incarnation, {
      nodeName: member.nodeName,
      peerAddress: member.peerAddress,
      replacedSinceMs: null,
    });
    const [oldest] = this.known.keys();
    if (this.known.size > MAX_PROCESSES && oldest) this.known.delete(oldest);
  }
}

/** An incarnation is the node's name, a dot and a random part. */
function readNodeName(incarnation: NodeIncarnation): string {
  return incarnation.slice(0, incarnation.lastIndexOf('.'));
}
