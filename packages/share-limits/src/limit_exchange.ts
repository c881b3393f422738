/** Exchanges the limits of servers between the nodes and the holder of the duty. */
import {type LimitReply, type LimitReport} from './limit_messages.js';
import {type ServerLimits} from './server_limits.js';

/** Sends lists only to receivers that do not have them. */
export class LimitExchange {
  /** The process that this node reports to. */
  private holder = '';
  private knownListId: string | null = null;
  /** The version of this node's list that the holder has. */
  private reportedVersion = -1;
  private sentVersion = -1;

  constructor(
    private readonly limits: ServerLimits,
    private readonly ownIncarnation: string,
  ) {}

  makeReport(holder: string): LimitReport {
    if (holder !== this.holder) {
      Object.assign(this, {holder, knownListId: null, reportedVersion: -1});
    }
    const {limits, knownListId} = this;
    this.sentVersion = limits.version;
    const isKnown = this.reportedVersion === limits.version;
    return {knownListId, entries: isKnown ? null : limits.list()};
  }

  /** Handles the answer to the last report. */
  applyReply(holder: string, {listId, entries}: LimitReply): void {
    if (holder !== this.holder) return;
    this.reportedVersion = this.sentVersion;
    this.knownListId = listId;
    entries?.forEach(entry => this.limits.applyReported(entry));
  }

  /** Answers the report of a node; null from one of the previous release. */
  answerReport(report: LimitReport | null): LimitReply {
    report?.entries?.forEach(entry => this.limits.applyReported(entry));
    const listId = `${this.ownIncarnation}.${this.limits.version}`;
    const isKnown = report?.knownListId === listId;
    return {listId, entries: isKnown ? null : this.limits.list()};
  }
}
