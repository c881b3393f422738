/**
 * Everything that one node says and hears of engines. It owns no socket and
 * no timer: the caller passes the time, sends what is returned, and calls
 * `tick` about every 100 ms.
 */
import {
  type BackendReport,
  type EngineBoard,
  type EngineStatus,
} from '@mimosatack/engine-board';
import {type RandomSource} from '@mimosatack/random';
import {type BackendServerId} from '@mimosatack/types';
import {ExchangeRing, type RingNode} from './exchange_ring.js';
import {LoadExchange} from './load_exchange.js';
import {
  type IndexedStatus,
  type OutgoingReport,
  type ReportMessage,
} from './messages.js';
import {OwnEngines, type StewardTerm} from './own_engines.js';
import {type RunnerRow, TableHistory} from './runner_table.js';
import {StatusSpread} from './status_spread.js';
import {StatusSync} from './status_sync.js';
import {StatusTable, decodeStatuses} from './status_table.js';

/** What sharing is built from. */
export interface ReportSharingOptions {
  nodeName: string;
  board: EngineBoard;
  random: RandomSource;
  /** Whether the planner needs to know if a warm slot is in use. */
  isWatched?: (id: BackendServerId, engineSlotId: string) => boolean;
}

/** The present time by both clocks. */
export interface Now {
  monotonicMs: number;
  wallMs: number;
}

/** The warm states of a message. */
interface StatusNews {
  table: number;
  statuses: readonly IndexedStatus[];
  isWhole?: boolean;
}

const EXPIRE_PERIOD_MS = 1_000;

/** Shares loads by rounds, and warm states when they change. */
export class ReportSharing {
  private readonly tables = new TableHistory();
  private readonly statuses = new StatusTable();
  private readonly loads: LoadExchange;
  private readonly spread: StatusSpread;
  private readonly sync: StatusSync;
  private readonly ownEngines: OwnEngines;
  private ring: ExchangeRing;
  private expiredAtMs = 0;

  constructor(private readonly options: ReportSharingOptions) {
    const {board, random} = options;
    this.loads = new LoadExchange(this.tables, board);
    this.spread = new StatusSpread(this.tables, this.statuses, random);
    this.sync = new StatusSync(this.tables, this.statuses, random);
    this.ownEngines = new OwnEngines(options.isWatched ?? (() => false));
    this.ring = new ExchangeRing(options.nodeName, []);
  }

  /** How often the load of every backend server comes. */
  get roundMs(): number {
    return this.loads.roundMs;
  }

  /** Takes the backend servers and claims of the agreed state. */
  setRunners(rows: readonly RunnerRow[]): void {
    const before = this.tables.current;
    if (!this.tables.update(rows)) return;
    const {current} = this.tables;
    before.rows
      .filter(row => !current.find(row.backendServerId))
      .forEach(row => this.options.board.forget(row.backendServerId));
    this.statuses.forgetMissing(current);
    this.loads.forgetMissing();
  }

  /** Takes the nodes that are there, this one included. */
  setNodes(nodes: readonly RingNode[]): void {
    this.ring = new ExchangeRing(this.options.nodeName, nodes);
    this.loads.setRing(this.ring);
  }

  /** Takes what a steward of this node has read. */
  publish(report: BackendReport, term: StewardTerm, nowMs: number): void {
    const id = report.backendServerId;
    const status = this.ownEngines.note(report, term, nowMs);
    if (this.mergeStatus(status, nowMs)) this.spread.add(id, null);
    this.options.board.note({...report, version: status.version}, nowMs);
    const load = report.isReachable ? report.load : null;
    this.loads.publish({
      sample: {backendServerId: id, epoch: term.epoch, load},
      readAtMs: nowMs,
    });
  }

  tick({monotonicMs, wallMs}: Now): OutgoingReport[] {
    this.expire(monotonicMs);
    return [
      ...this.loads.tick(monotonicMs, wallMs),
      ...this.spread.tick(this.ring, monotonicMs),
      ...this.sync.tick(this.ring, monotonicMs),
    ];
  }

  /** Takes in a message that `reportMessageSchema` has let through. */
  receive(
    fromAddress: string,
    message: ReportMessage,
    {monotonicMs, wallMs}: Now,
  ): OutgoingReport[] {
    switch (message.type) {
      case 'loads':
        this.loads.receive(message, monotonicMs, wallMs);
        return [];
      case 'statuses':
        if (this.mergeAll(message, fromAddress, monotonicMs)) {
          if (message.isWhole) this.sync.noteJoined();
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
        this.mergeAll(message, fromAddress, monotonicMs);
        return replies;
      }
    }
  }

  private expire(nowMs: number): void {
    if (nowMs - this.expiredAtMs < EXPIRE_PERIOD_MS) return;
    this.expiredAtMs = nowMs;
    this.options.board.expire(nowMs, this.loads.staleAfterMs);
  }

  /** Returns whether the message's table is known here. */
  private mergeAll(
    {table, statuses, isWhole = false}: StatusNews,
    fromAddress: string,
    nowMs: number,
  ): boolean {
    const known = this.tables.findByNames(table);
    if (!known) return false;
    decodeStatuses(statuses, known)
      .filter(status => this.tables.current.find(status.backendServerId))
      .filter(status => this.mergeStatus(status, nowMs))
      // A whole picture is news to a node that has started, not to others.
      .filter(() => !isWhole)
      .forEach(({backendServerId}) =>
        this.spread.add(backendServerId, fromAddress),
      );
    return true;
  }

  private mergeStatus(status: EngineStatus, nowMs: number): boolean {
    if (!this.statuses.merge(status)) return false;
    this.options.board.noteStatus(status, nowMs);
    return true;
  }
}
