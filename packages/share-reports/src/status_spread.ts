/** Tells a few peers at once of warm states that have changed. */
import {type RandomSource} from '@mimosatack/random';
import {type BackendServerId} from '@mimosatack/types';
import {type ExchangeRing, type RingNode} from './exchange_ring.js';
import {type OutgoingReport} from './messages.js';
import {type TableHistory} from './runner_table.js';
import {type StatusTable, encodeStatuses} from './status_table.js';

/** Peers that each change is passed on to, the next on the ring included. */
const FAN_OUT = 4;
/**
 * Guards the budget against many changes at once, as after a cut: at most so
 * many are passed on each second, and what waits longer is either replaced by
 * newer news or found by comparison.
 */
const MAX_CHANGES_PER_S = 12;
const MAX_BURST = 48;
const MS_PER_S = 1_000;

/** Each node passes a change on when it first hears of it. */
export class StatusSpread {
  /** Changed backend servers, with who told of the change. */
  private readonly queue = new Map<BackendServerId, string | null>();
  private allowance = MAX_BURST;
  private lastTickMs: number | null = null;

  constructor(
    private readonly tables: TableHistory,
    private readonly statuses: StatusTable,
    private readonly random: RandomSource,
  ) {}

  /** @param fromAddress who told of it; null for news of this node. */
  add(id: BackendServerId, fromAddress: string | null): void {
    this.queue.delete(id);
    this.queue.set(id, fromAddress);
  }

  tick(ring: ExchangeRing, nowMs: number): OutgoingReport[] {
    this.refill(nowMs);
    const changes = [...this.queue].slice(0, Math.floor(this.allowance));
    this.allowance -= changes.length;
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
    const passedMs = nowMs - (this.lastTickMs ?? nowMs);
    this.lastTickMs = nowMs;
    this.allowance = Math.min(
      MAX_BURST,
      this.allowance + (passedMs * MAX_CHANGES_PER_S) / MS_PER_S,
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
