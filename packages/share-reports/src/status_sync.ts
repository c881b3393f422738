/** Gets warm states that were missed: at the start, and by comparison. */
import {type EngineStatus, compareVersions} from '@mimosatack/engine-board';
import {type RandomSource, pickOne} from '@mimosatack/random';
import {type ExchangeRing} from './exchange_ring.js';
import {BUCKET_COUNT, type MessageOf, type OutgoingReport} from './messages.js';
import {type TableHistory} from './runner_table.js';
import {
  type StatusTable,
  decodeStatuses,
  encodeStatuses,
} from './status_table.js';

const SYNC_PERIOD_MS = 10_000;
/** The next comparison when the last one found more than it could mend. */
const CATCH_UP_MS = 1_000;
/** Bounds what one comparison sends. */
const MAX_BUCKETS = 4;
const JOIN_RETRY_MS = 1_000;

/** Compares digests with one peer now and then. */
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
    if (!this.isJoined) return this.askForAll(peer.peerAddress, nowMs);
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

  /** The whole picture in one message, for a node that has started. */
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

  /** The whole picture came in a form that could be read. */
  noteJoined(): void {
    this.isJoined = true;
  }

  receiveDigests(
    fromAddress: string,
    {digests}: MessageOf<'status-digests'>,
    nowMs: number,
  ): OutgoingReport[] {
    const own = this.statuses.digests;
    const different = Array.from({length: BUCKET_COUNT}, (_, place) => place)
      .filter(bucket => own[bucket] !== digests[bucket])
      .map(bucket => ({bucket, order: this.random.nextFraction()}))
      .sort((a, b) => a.order - b.order)
      .map(({bucket}) => bucket);
    if (different.length === 0) return [];
    if (different.length > MAX_BUCKETS) this.hurry(nowMs);
    const buckets = different.slice(0, MAX_BUCKETS);
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

  /** Answers with what the other lacks; the caller merges what it told. */
  receiveBuckets(
    fromAddress: string,
    {table, buckets, statuses}: MessageOf<'status-buckets'>,
    nowMs: number,
  ): OutgoingReport[] {
    const known = this.tables.findByNames(table);
    if (!known) return [];
    if (buckets.length >= MAX_BUCKETS) this.hurry(nowMs);
    const told = new Map(
      decodeStatuses(statuses, known).map(status => [
        status.backendServerId,
        status,
      ]),
    );
    const newer = this.statuses
      .listIn(buckets)
      .filter(status => isNewer(status, told.get(status.backendServerId)));
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

  private askForAll(toAddress: string, nowMs: number): OutgoingReport[] {
    if (nowMs < this.nextJoinMs) return [];
    this.nextJoinMs = nowMs + JOIN_RETRY_MS;
    return [{toAddress, message: {type: 'status-request'}}];
  }

  private hurry(nowMs: number): void {
    const soonMs = nowMs + CATCH_UP_MS * (1 + this.random.nextFraction());
    this.nextSyncMs = Math.min(this.nextSyncMs ?? soonMs, soonMs);
  }
}

function isNewer(status: EngineStatus, told?: EngineStatus): boolean {
  return !told || compareVersions(status.version, told.version) > 0;
}
