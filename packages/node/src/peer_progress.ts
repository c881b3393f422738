/** Tracks how far the other nodes have read the log. */
import {type LogOffset} from '@mimosatack/types';

/** The log progress of a node, sent with every membership message. */
export interface Progress {
  nextOffset: LogOffset;
  isLogReachable: boolean;
}

const MAX_ADDRESSES = 2_048;

/** The last reported progress of each node, by its peer address. */
export class PeerProgress {
  /** Increases whenever a node loses or regains the log. */
  version = 0;
  private readonly byAddress = new Map<string, Progress>();

  find(peerAddress: string): Progress | undefined {
    return this.byAddress.get(peerAddress);
  }

  note(peerAddress: string, {nextOffset, isLogReachable}: Progress): void {
    const known = this.byAddress.get(peerAddress);
    if ((known?.isLogReachable ?? true) !== isLogReachable) this.version += 1;
    this.byAddress.delete(peerAddress);
    this.byAddress.set(peerAddress, {nextOffset, isLogReachable});
    const [oldest] = this.byAddress.keys();
    if (this.byAddress.size > MAX_ADDRESSES && oldest !== undefined) {
      this.byAddress.delete(oldest);
    }
  }
}
