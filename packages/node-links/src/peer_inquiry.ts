/** Decides when this node asks others about a silent duty holder, and about themselves. */
import {type DutyHolder} from '@mimosatack/hold-duty';
import {type HolderContacts} from './holder_contacts.js';
import {
  type NodeAnswer,
  type SendRequest,
  askNodes,
  chooseNodesToAsk,
  findAskDelayMs,
} from './holder_inquiry.js';
import {type LiveNodes} from './live_nodes.js';
import {type NodeLinksOptions} from './node_links_options.js';

export interface PeerInquiryOptions extends Pick<
  NodeLinksOptions,
  'clock' | 'self' | 'listNodes'
> {
  contacts: HolderContacts;
  liveNodes: Pick<LiveNodes, 'recordAnswers'>;
  /** Number of registered nodes that claim the duty before this one. */
  findRank: () => number;
  request: SendRequest;
}

/**
 * Without a report of the holder for this long, nodes ask which others live. A node that
 * does not answer is known to be silent before the report counts as out of date.
 */
const ASK_AFTER_MS = 1_500;

export class PeerInquiry {
  private reportedAtMs = -Infinity;
  private isAsking = false;

  constructor(private readonly options: PeerInquiryOptions) {}

  /** Called with each report of the holder. */
  recordReport(): void {
    this.reportedAtMs = this.options.clock.monotonicMs();
  }

  async askIfDue(holder: DutyHolder | null): Promise<void> {
    if (this.isAsking || !this.isDue(holder)) return;
    const {self, contacts, liveNodes, listNodes, request} = this.options;
    this.isAsking = true;
    const nodes = chooseNodesToAsk(self, holder, listNodes());
    const answers = await askNodes(nodes, holder, request);
    this.isAsking = false;
    liveNodes.recordAnswers([...answers, ...this.listSilentHolder(holder)]);
    if (!holder) return;
    const isHeard = answers.some(({reply}) => reply?.isHeard);
    contacts.notePeerReports(holder, isHeard);
  }

  private isDue(holder: DutyHolder | null): boolean {
    const {clock, contacts, findRank} = this.options;
    if (clock.monotonicMs() - this.reportedAtMs >= ASK_AFTER_MS) return true;
    return (
      holder !== null &&
      contacts.find(holder) === 'silent' &&
      contacts.sinceContactMs(holder) >= findAskDelayMs(findRank())
    );
  }

  /** The holder is not asked, as heartbeats tell that it is silent. */
  private listSilentHolder(holder: DutyHolder | null): NodeAnswer[] {
    const {contacts, listNodes} = this.options;
    if (!holder || contacts.find(holder) === 'alive') return [];
    return listNodes()
      .filter(({incarnation}) => incarnation === holder.incarnation)
      .map(node => ({node, reply: null}));
  }
}
