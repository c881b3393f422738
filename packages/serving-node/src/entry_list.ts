import {type SocketAddress} from '@mimosatack/types';

/** Addresses at which callers can connect, and how long to cache them. */
export interface EntryList {
  addresses: readonly SocketAddress[];
  ttlMs: number;
}
