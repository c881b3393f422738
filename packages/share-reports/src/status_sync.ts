/**
 * Repairs missing warm states: requests all of them at the start, and compares
 * digests with a random peer at intervals.
 */
import {type EngineStatus, compareVersions} from '@mimosatack/engine-board';
import {type RandomSource, pickOne} from '@mimosatack/random';
import {type TableHistory} from './backend_server_table.js';
import {type ExchangeRing} from './exchange_ring.js';
import {BUCKET_COUNT, type MessageOf, type OutgoingReport} from './messages.js';
import {
  type StatusTable,
  decodeStatuses,
  encodeStatuses,
} from './status_table.js';

const SYNC_PERIOD_MS = 10_000;
/** The delay until the next comparison if one reached `MAX_BUCKETS`. */
const CATCH_UP_DELAY_MS = 1_000;
/** Limits the size of the messages of one comparison. */
const MAX_BUCKETS = 4;
const JOIN_RETRY_DELAY_MS = 1_000;

export class StatusSync {
  private isJoined = false;
  private nextJoinMs = 0;
  private nextSyncMs: number | null = null;

  constructor(
    private readonly tables: TableHistory,
    private readonly statuses: StatusTable,
    private readonly random: RandomSource,
  ) {}

  tick(ring: ExchangeRing, nowMs: number): OutgoingReport[] {
    const peer = pickOne(this.random, ring.listPeers());
    if (!peer || this.tables.current.rows.length === 0) return [];
    if (!this.isJoined) return this.requestAll(peer.peerAddress, nowMs);
    this.nextSyncMs ??= nowMs + SYNC_PERIOD_MS * this.random.nextFraction();
    if (nowMs < this.nextSyncMs) return [];
    this.nextSyncMs = nowMs + SYNC_PERIOD_MS;
    const digests = [...this.statuses.digests];
    return [
      {
        toAddress: peer.peerAddress,
        message: {type: 'status-digests', digests},
      },
    ];
  }

  /** Replies to a node that has started with all warm states in one message. */
  receiveRequest(fromAddress: string): OutgoingReport[] {
    const {current} = this.tables;
    return [
      {
        toAddress: fromAddress,
        message: {
          type: 'statuses',
          table: current.namesDigest,
          statuses: encodeStatuses(this.statuses.list(), current),
          isWhole: true,
        },
      },
    ];
  }

  /** Stops the requests for all warm states after one was answered. */
  markJoined(): void {
    this.isJoined = true;
  }

  receiveDigests(
    fromAddress: string,
    {digests}: MessageOf<'status-digests'>,
    nowMs: number,
  ): OutgoingReport[] {
    const own = this.statuses.digests;
    const differing = Array.from({length: BUCKET_COUNT}, (_, index) => index)
      .filter(bucket => own[bucket] !== digests[bucket])
      .map(bucket => ({bucket, order: this.random.nextFraction()}))
      .sort((a, b) => a.order - b.order)
      .map(({bucket}) => bucket);
    if (differing.length === 0) return [];
    if (differing.length > MAX_BUCKETS) this.scheduleSoon(nowMs);
    const buckets = differing.slice(0, MAX_BUCKETS);
    const {current} = this.tables;
    return [
      {
        toAddress: fromAddress,
        message: {
          type: 'status-buckets',
          table: current.namesDigest,
          buckets,
          statuses: encodeStatuses(this.statuses.listIn(buckets), current),
        },
      },
    ];
  }

  /** Replies with newer warm states; the caller merges the received ones. */
  receiveBuckets(
    fromAddress: string,
    {table, buckets, statuses}: MessageOf<'status-buckets'>,
    nowMs: number,
  ): OutgoingReport[] {
    const known = this.tables.findByNames(table);
    if (!known) return [];
    if (buckets.length >= MAX_BUCKETS) this.scheduleSoon(nowMs);
    const received = new Map(
      decodeStatuses(statuses, known).map(status => [
        status.backendServerId,
        status,
      ]),
    );
    const newer = this.statuses
      .listIn(buckets)
      .filter(status => isNewer(status, received.get(status.backendServerId)));
    if (newer.length === 0) return [];
    const {current} = this.tables;
    return [
      {
        toAddress: fromAddress,
        message: {
          type: 'statuses',
          table: current.namesDigest,
          statuses: encodeStatuses(newer, current),
          isWhole: false,
        },
      },
    ];
  }

  private requestAll(toAddress: string, nowMs: number): OutgoingReport[] {
    if (nowMs < this.nextJoinMs) return [];
    this.nextJoinMs = nowMs + JOIN_RETRY_DELAY_MS;
    return [{toAddress, message: {type: 'status-request'}}];
  }

  private scheduleSoon(nowMs: number): void {
    const soonMs = nowMs + CATCH_UP_DELAY_MS * (1 + this.random.nextFraction());
    this.nextSyncMs = Math.min(this.nextSyncMs ?? soonMs, soonMs);
  }
}

function isNewer(status: EngineStatus, received?: EngineStatus): boolean {
  return !received || compareVersions(status.version, received.version) > 0;
}
