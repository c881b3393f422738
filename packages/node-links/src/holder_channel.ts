/** Sends messages to the duty holder while this node is in contact with it. */
import {toTypedError} from '@mimosatack/errors';
import {type DutyHolder} from '@mimosatack/hold-duty';
import {
  type SuspectAsk,
  type SuspectDecision,
  type SuspectRelease,
} from '@mimosatack/contain-requests';
import {type PeerTransport} from '@mimosatack/peer-transport';
import {type ToHolderMessage} from '@mimosatack/schedule-service';
import {type HolderContacts} from './holder_contacts.js';
import {type NodeMessage} from './messages.js';
import {type NodeLinksOptions} from './node_links_options.js';

export interface HolderChannelOptions extends Pick<
  NodeLinksOptions,
  'self' | 'holder' | 'onToHolder' | 'onFault'
> {
  contacts: Pick<HolderContacts, 'find'>;
  /** False for a holder of the previous release, or before its first reply. */
  knowsPlaces: (holder: DutyHolder) => boolean;
  transport: Pick<PeerTransport<NodeMessage>, 'send' | 'request'>;
}

export class HolderChannel {
  constructor(private readonly options: HolderChannelOptions) {}

  /** Returns false if the message is not sent. */
  send(message: ToHolderMessage): boolean {
    const {knowsPlaces, onToHolder, self, transport} = this.options;
    const holder = this.findAlive();
    if (!holder) return false;
    if (holder.incarnation === self.incarnation) {
      onToHolder(self.peerAddress, message);
      return true;
    }
    // The previous release closes the connection at a message that it does not know.
    if (message.type === 'pressure' && !knowsPlaces(holder)) return false;
    transport.send(holder.address, {type: 'to-holder', body: message});
    return true;
  }

  /** Resolves with null if there is no holder or it does not decide. */
  async askForLease(
    ask: SuspectAsk,
    timeoutMs: number,
  ): Promise<SuspectDecision | null> {
    const holder = this.findAlive();
    if (!holder) return null;
    try {
      const {transport} = this.options;
      const reply = await transport.request(holder.address, ask, timeoutMs);
      return reply.type === 'suspect-decision' ? reply : null;
    } catch (thrown) {
      this.options.onFault(toTypedError(thrown));
      return null;
    }
  }

  releaseLease(release: SuspectRelease): void {
    const holder = this.findAlive();
    if (holder) this.options.transport.send(holder.address, release);
  }

  private findAlive(): DutyHolder | null {
    const {holder: findHolder, contacts} = this.options;
    const holder = findHolder();
    return holder && contacts.find(holder) === 'alive' ? holder : null;
  }
}
