/** How far the other nodes have got with the log, as they last said. */
import {type LogOffset} from '@mimosatack/types';

/** What a node says of itself with every membership message. */
export interface Progress {
  nextOffset: LogOffset;
  isLogReachable: boolean;
}

/** How many addresses are remembered. */
const MAX_ADDRESSES = 2_048;

/** The newest word of each node, by its peer address. */
export class PeerProgress {
  /** Grows whenever a node lost or regained the log. */
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
