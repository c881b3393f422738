/** What membership says of other processes. */
import {type Member} from '@mimosatack/membership';
import {type PeerTask} from './peer_task.js';

/** Looks processes up by their incarnation. */
export class KnownProcesses {
  constructor(private readonly peers: Pick<PeerTask, 'listMembers'>) {}

  isKnown(incarnation: string): boolean {
    return this.find(incarnation) !== undefined;
  }

  /** A process that membership never heard of, or believes to be dead. */
  isGone(incarnation: string): boolean {
    const member = this.find(incarnation);
    return member === undefined || member.status === 'gone';
  }

  private find(incarnation: string): Member | undefined {
    return this.peers
      .listMembers()
      .find(other => other.incarnation === incarnation);
  }
}
