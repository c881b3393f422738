import {
  type FailureDomain,
  type Region,
  type SocketAddress,
} from '@mimosatack/types';

/** Addresses at which callers can connect, and how long to cache them. */
export interface EntryList {
  addresses: readonly SocketAddress[];
  ttlMs: number;
}

/** Where a caller that asks for addresses is; null for what it does not say. */
export interface EntryQuery {
  region: Region | null;
  failureDomain: FailureDomain | null;
}
