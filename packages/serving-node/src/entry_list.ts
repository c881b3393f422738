import {type SocketAddress} from '@mimosatack/types';

/** Where callers may connect, and how long they may keep the answer. */
export interface EntryList {
  addresses: readonly SocketAddress[];
  ttlMs: number;
}
