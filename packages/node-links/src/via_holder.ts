/** What a node knows of the others through the duty holder. */
import {type DutyHolder} from '@mimosatack/hold-duty';
import {type HolderContacts} from './holder_contacts.js';
import {type LastWelcome} from './last_welcome.js';
import {type NodeLinksOptions} from './node_links_options.js';
import {type NodeRoster} from './node_roster.js';

export interface ViaHolderOptions extends Pick<
  NodeLinksOptions,
  'clock' | 'self' | 'holder' | 'listNodes' | 'readStatus'
> {
  contacts: HolderContacts;
  lastWelcome: LastWelcome;
  roster: NodeRoster;
}

export class ViaHolder {
  constructor(private readonly options: ViaHolderOptions) {}

  /**
   * Age of the server records of the holder that answered last; Infinity without another
   * holder. This node may lack some of them; see `heldServersAgeMs`.
   */
  get serversAgeMs(): number {
    const {clock, lastWelcome} = this.options;
    if (!this.findOtherHolder()) return Infinity;
    return lastWelcome.findServersAgeMs(clock.monotonicMs());
  }

  /**
   * Age of this node's server records by the holder's; Infinity while it lacks some, since
   * records may be lost on their way.
   */
  get heldServersAgeMs(): number {
    const {lastWelcome, readStatus} = this.options;
    const isBehind =
      readStatus().serversEndOffset < lastWelcome.serversEndOffset;
    return isBehind ? Infinity : this.serversAgeMs;
  }

  /** Whether a live holder forwards the registered nodes to this node. */
  get receivesNodeRecords(): boolean {
    const {contacts, lastWelcome} = this.options;
    const holder = this.findOtherHolder();
    if (!holder) return false;
    return lastWelcome.relaysNodes(holder) && contacts.find(holder) === 'alive';
  }

  /**
   * Whether this node would learn of a change of the registered nodes: it reaches
   * the holder, and the holder reaches most of them.
   */
  get isNodeListConfirmed(): boolean {
    const {holder, readStatus, contacts, lastWelcome} = this.options;
    if (!holder() || readStatus().nodesEndOffset === 0) return false;
    const other = this.findOtherHolder();
    if (!other) return this.reachesMostNodes();
    const isAlive = contacts.find(other) === 'alive';
    return isAlive && lastWelcome.findFrom(other)?.isNodeListConfirmed === true;
  }

  private reachesMostNodes(): boolean {
    const {self, listNodes, roster} = this.options;
    const names = listNodes().map(({nodeName}) => nodeName);
    return roster.reachesMost(names, self.nodeName);
  }

  /** Null if this node is the holder or knows none. */
  private findOtherHolder(): DutyHolder | null {
    const {self, holder: findHolder} = this.options;
    const holder = findHolder();
    return holder?.incarnation === self.incarnation ? null : holder;
  }
}
