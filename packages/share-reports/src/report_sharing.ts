/**
 * The exchange of engine reports between nodes, without sockets and timers: the
 * caller passes the time, sends the returned messages, and calls `tick` about
 * every 100 ms.
 */
import {
  type BackendReport,
  type EngineBoard,
  type EngineStatus,
} from '@mimosatack/engine-board';
import {type RandomSource} from '@mimosatack/random';
import {type BackendServerId} from '@mimosatack/types';
import {type BackendServerClaim, TableHistory} from './backend_server_table.js';
import {ExchangeRing, type RingNode} from './exchange_ring.js';
import {LoadExchange} from './load_exchange.js';
import {
  type IndexedStatus,
  type OutgoingReport,
  type ReportMessage,
} from './messages.js';
import {OwnEngines, type StewardTerm} from './own_engines.js';
import {StatusGossip} from './status_gossip.js';
import {StatusSync} from './status_sync.js';
import {StatusTable, decodeStatuses} from './status_table.js';

export interface ReportSharingOptions {
  nodeName: string;
  board: EngineBoard;
  random: RandomSource;
  /** Whether the planner needs to know if a warm slot is in use. */
  needsSlotUsage?: (id: BackendServerId, engineSlotId: string) => boolean;
}

export interface ClockReading {
  monotonicMs: number;
  wallMs: number;
}

interface StatusBatch {
  table: number;
  statuses: readonly IndexedStatus[];
  isWhole?: boolean;
}

const EXPIRE_PERIOD_MS = 1_000;

/** Shares loads in rounds, and warm states when they change. */
export class ReportSharing {
  private readonly tables = new TableHistory();
  private readonly statuses = new StatusTable();
  private readonly loads: LoadExchange;
  private readonly gossip: StatusGossip;
  private readonly sync: StatusSync;
  private readonly ownEngines: OwnEngines;
  private ring: ExchangeRing;
  private expiredAtMs = 0;

  constructor(private readonly options: ReportSharingOptions) {
    const {board, random} = options;
    this.loads = new LoadExchange(this.tables, board);
    this.gossip = new StatusGossip(this.tables, this.statuses, random);
    this.sync = new StatusSync(this.tables, this.statuses, random);
    this.ownEngines = new OwnEngines(options.needsSlotUsage ?? (() => false));
    this.ring = new ExchangeRing(options.nodeName, []);
  }

  /** The interval at which every load is updated. */
  get roundMs(): number {
    return this.loads.roundMs;
  }

  /** Sets the backend servers and claims of the agreed state. */
  setBackendServers(rows: readonly BackendServerClaim[]): void {
    const before = this.tables.current;
    if (!this.tables.update(rows)) return;
    const {current} = this.tables;
    before.rows
      .filter(row => !current.find(row.backendServerId))
      .forEach(row => this.options.board.remove(row.backendServerId));
    this.statuses.removeUnregistered(current);
    this.loads.removeUnregistered();
  }

  /** Sets the nodes of the cluster, including this one. */
  setNodes(nodes: readonly RingNode[]): void {
    this.ring = new ExchangeRing(this.options.nodeName, nodes);
    this.loads.setRing(this.ring);
  }

  /** Shares a report that a steward on this node has read. */
  publish(report: BackendReport, term: StewardTerm, nowMs: number): void {
    const id = report.backendServerId;
    const status = this.ownEngines.update(report, term, nowMs);
    if (this.mergeStatus(status, nowMs)) this.gossip.add(id, null);
    this.options.board.applyReport({...report, version: status.version}, nowMs);
    const load = report.isReachable ? report.load : null;
    this.loads.publish({
      sample: {backendServerId: id, epoch: term.epoch, load},
      readAtMs: nowMs,
    });
  }

  tick({monotonicMs, wallMs}: ClockReading): OutgoingReport[] {
    this.expire(monotonicMs);
    return [
      ...this.loads.tick(monotonicMs, wallMs),
      ...this.gossip.tick(this.ring, monotonicMs),
      ...this.sync.tick(this.ring, monotonicMs),
    ];
  }

  /** Handles a message that `reportMessageSchema` has validated. */
  receive(
    fromAddress: string,
    message: ReportMessage,
    {monotonicMs, wallMs}: ClockReading,
  ): OutgoingReport[] {
    switch (message.type) {
      case 'loads':
        this.loads.receive(message, monotonicMs, wallMs);
        return [];
      case 'statuses':
        if (this.mergeStatuses(message, fromAddress, monotonicMs)) {
          if (message.isWhole) this.sync.markJoined();
        }
        return [];
      case 'status-request':
        return this.sync.receiveRequest(fromAddress);
      case 'status-digests':
        return this.sync.receiveDigests(fromAddress, message, monotonicMs);
      case 'status-buckets': {
        const replies = this.sync.receiveBuckets(
          fromAddress,
          message,
          monotonicMs,
        );
        this.mergeStatuses(message, fromAddress, monotonicMs);
        return replies;
      }
    }
  }

  private expire(nowMs: number): void {
    if (nowMs - this.expiredAtMs < EXPIRE_PERIOD_MS) return;
    this.expiredAtMs = nowMs;
    this.options.board.expire(nowMs, this.loads.staleAfterMs);
  }

  /** Returns whether the table of the message is known. */
  private mergeStatuses(
    {table, statuses, isWhole = false}: StatusBatch,
    fromAddress: string,
    nowMs: number,
  ): boolean {
    const known = this.tables.findByNames(table);
    if (!known) return false;
    decodeStatuses(statuses, known)
      .filter(status => this.tables.current.find(status.backendServerId))
      .filter(status => this.mergeStatus(status, nowMs))
      // Only the node that has just started lacks these states.
      .filter(() => !isWhole)
      .forEach(({backendServerId}) =>
        this.gossip.add(backendServerId, fromAddress),
      );
    return true;
  }

  private mergeStatus(status: EngineStatus, nowMs: number): boolean {
    if (!this.statuses.merge(status)) return false;
    this.options.board.applyStatus(status, nowMs);
    return true;
  }
}
