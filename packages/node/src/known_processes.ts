/** Looks up processes in the membership. */
import {type Member} from '@mimosatack/membership';
import {type PeerTask} from './peer_task.js';

export class KnownProcesses {
  constructor(private readonly peers: Pick<PeerTask, 'listMembers'>) {}

  isKnown(incarnation: string): boolean {
    return this.find(incarnation) !== undefined;
  }

  /** Whether a process is unknown to membership or believed to be dead. */
  isGoneOrUnknown(incarnation: string): boolean {
    const member = this.find(incarnation);
    return member === undefined || member.status === 'gone';
  }

  private find(incarnation: string): Member | undefined {
    return this.peers
      .listMembers()
      .find(other => other.incarnation === incarnation);
  }
}
