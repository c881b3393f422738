/** Ends the requests of nodes that can no longer tell how they end. */
import {type EventLogger} from '@mimosatack/logger';
import {type ModelScheduler} from '@mimosatack/schedule-models';
import {type QuotaCharge} from '@mimosatack/team-quotas';
import {type NodeIncarnation} from '@mimosatack/types';
import {type ToHolderMessage} from './messages.js';
import {
  type TrackedAsk,
  type TrackedAsks,
  findIncarnation,
} from './tracked_asks.js';

export interface AbandonedRequestsOptions {
  logger: EventLogger;
  asks: TrackedAsks;
  scheduler: Pick<ModelScheduler, 'dequeue' | 'recordEnd'>;
  refund: (charge: QuotaCharge) => void;
}

/** Looking at all requests that run costs more than one decision. */
const OVERDUE_CHECK_MS = 1_000;

export class AbandonedRequests {
  private overdueCheckedAtMs = -Infinity;

  constructor(private readonly options: AbandonedRequestsOptions) {}

  /**
   * Ends the requests of the process that the sender of the message replaces. Returns true
   * for a late message of a process that was replaced: its requests have ended.
   */
  isFromReplaced(
    nodeAddress: string,
    message: ToHolderMessage,
    nowMs: number,
  ): boolean {
    const incarnation = findSender(message);
    if (incarnation === null) return false;
    const replaced = this.options.asks.recordProcess(nodeAddress, incarnation);
    this.end(replaced ?? [], 'node-restarted', nowMs);
    return replaced === null;
  }

  /** Ends the requests of a process that is no longer registered. */
  endRequestsOf(incarnation: NodeIncarnation, nowMs: number): void {
    this.end(this.options.asks.listOf(incarnation), 'node-removed', nowMs);
  }

  /** Ends requests that run and that their nodes must have ended by now. */
  endOverdue(nowMs: number): void {
    if (nowMs - this.overdueCheckedAtMs < OVERDUE_CHECK_MS) return;
    this.overdueCheckedAtMs = nowMs;
    this.end(this.options.asks.listOverdue(nowMs), 'deadline-passed', nowMs);
  }

  /**
   * Frees the places of the requests. The quota stays charged for those that were assigned,
   * since an engine may have run them.
   */
  private end(
    ended: readonly TrackedAsk[],
    cause: 'node-restarted' | 'node-removed' | 'deadline-passed',
    nowMs: number,
  ): void {
    if (ended.length === 0) return;
    const {asks, scheduler, refund, logger} = this.options;
    ended.forEach(({askId, engineId, charge}) => {
      asks.remove(askId);
      if (engineId !== null) {
        scheduler.recordEnd(askId, engineId, 'neutral', null, nowMs);
        return;
      }
      scheduler.dequeue(askId);
      if (charge) refund(charge);
    });
    const runs = ended.filter(({engineId}) => engineId !== null).length;
    logger.log('abandoned-requests-ended', {
      ...{cause, runs, waiting: ended.length - runs},
      nodeAddresses: [...new Set(ended.map(({nodeAddress}) => nodeAddress))],
    });
  }
}

/** The process that sent a message; null where the message does not tell. */
export function findSender(message: ToHolderMessage): NodeIncarnation | null {
  if (message.type === 'ask') return findIncarnation(message.ask.askId);
  if (message.type !== 'under-way') return null;
  const {incarnation, asks, runs} = message;
  const askId = asks[0]?.askId ?? runs[0]?.ask.askId;
  return incarnation ?? (askId === undefined ? null : findIncarnation(askId));
}
