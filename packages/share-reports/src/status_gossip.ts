/** Sends changed warm states to a few peers at once. */
import {type RandomSource} from '@mimosatack/random';
import {type BackendServerId} from '@mimosatack/types';
import {type TableHistory} from './backend_server_table.js';
import {type ExchangeRing, type RingNode} from './exchange_ring.js';
import {type OutgoingReport} from './messages.js';
import {type StatusTable, encodeStatuses} from './status_table.js';

/** The peers that receive each change, including the next on the ring. */
const FAN_OUT = 4;
/**
 * Guards against a burst of messages, such as after a network partition. Queued
 * changes are replaced by newer ones, or found by digest comparison.
 */
const MAX_CHANGES_PER_S = 12;
const MAX_BURST = 48;
const MS_PER_S = 1_000;

/** Each node forwards a change when it first learns of it. */
export class StatusGossip {
  /** Changed backend servers and the address that each change came from. */
  private readonly queue = new Map<BackendServerId, string | null>();
  private tokens = MAX_BURST;
  private lastTickMs: number | null = null;

  constructor(
    private readonly tables: TableHistory,
    private readonly statuses: StatusTable,
    private readonly random: RandomSource,
  ) {}

  /** @param fromAddress the sender; null for a change that this node read. */
  add(id: BackendServerId, fromAddress: string | null): void {
    this.queue.delete(id);
    this.queue.set(id, fromAddress);
  }

  tick(ring: ExchangeRing, nowMs: number): OutgoingReport[] {
    this.refill(nowMs);
    const changes = [...this.queue].slice(0, Math.floor(this.tokens));
    this.tokens -= changes.length;
    changes.forEach(([id]) => this.queue.delete(id));
    if (changes.length === 0) return [];
    return this.pickPeers(ring).flatMap(({peerAddress}) =>
      this.makeMessage(
        peerAddress,
        changes
          .filter(([, fromAddress]) => fromAddress !== peerAddress)
          .map(([id]) => id),
      ),
    );
  }

  private refill(nowMs: number): void {
    const elapsedMs = nowMs - (this.lastTickMs ?? nowMs);
    this.lastTickMs = nowMs;
    this.tokens = Math.min(
      MAX_BURST,
      this.tokens + (elapsedMs * MAX_CHANGES_PER_S) / MS_PER_S,
    );
  }

  private pickPeers(ring: ExchangeRing): RingNode[] {
    const [next, ...others] = ring.listPeers();
    if (!next) return [];
    const picked = others
      .map(peer => ({peer, order: this.random.nextFraction()}))
      .sort((a, b) => a.order - b.order)
      .slice(0, FAN_OUT - 1)
      .map(({peer}) => peer);
    return [next, ...picked];
  }

  private makeMessage(
    toAddress: string,
    ids: readonly BackendServerId[],
  ): OutgoingReport[] {
    const {current} = this.tables;
    const statuses = encodeStatuses(
      ids.flatMap(id => this.statuses.find(id) ?? []),
      current,
    );
    if (statuses.length === 0) return [];
    const table = current.namesDigest;
    return [
      {
        toAddress,
        message: {type: 'statuses', table, statuses, isWhole: false},
      },
    ];
  }
}
