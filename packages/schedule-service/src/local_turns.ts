/** Orders what a node sends to engines by itself while no node schedules. */
import {type Clock} from '@mimosatack/clock';
import {findRequestCost} from '@mimosatack/schedule-models';
import {
  ANONYMOUS_TEAM,
  type FairOrder,
  type ShareItem,
  VirtualCounters,
} from '@mimosatack/share-capacity';
import {toAskPayload} from './ask_payload.js';
import {type PendingAsk} from './pending_ask.js';

export interface LocalTurnsOptions {
  clock: Clock;
  /** How many requests the node may run at the engines of a service; null for any number. */
  findLimit: (service: string) => number | null;
  countRuns: (service: string) => number;
  start: (pending: PendingAsk) => void;
}

interface TurnItem extends ShareItem {
  pending: PendingAsk;
}

/**
 * Answers the loss of the scheduling node while one team sends many times its share: all requests that wait would
 * otherwise go to full engines at once, which reject those of all teams alike, and the retries
 * of all would be used up.
 */
export class LocalTurns {
  private readonly orders = new Map<string, FairOrder<TurnItem>>();

  constructor(private readonly options: LocalTurnsOptions) {}

  add(pending: PendingAsk): void {
    const {name} = pending.ask.service;
    const order = this.orders.get(name) ?? new VirtualCounters<TurnItem>();
    this.orders.set(name, order);
    order.add(toItem(pending, this.options.clock.monotonicMs()));
    this.startDue();
  }

  /** Returns whether the ask was waiting for its turn. */
  remove(askId: string): boolean {
    return [...this.orders.values()].some(
      order => order.remove(askId) !== undefined,
    );
  }

  /** Starts the asks whose turn it is; called when a request has ended. */
  startDue(): void {
    this.orders.forEach((order, service) => {
      if (order.size > 0) this.startDueOf(service, order);
    });
  }

  private startDueOf(service: string, order: FairOrder<TurnItem>): void {
    const {clock, findLimit, countRuns, start} = this.options;
    const limit = findLimit(service) ?? Infinity;
    const places = limit - countRuns(service);
    if (places <= 0) return;
    const started: PendingAsk[] = [];
    order.startEach(clock.monotonicMs(), ({pending}) => {
      if (started.length >= places) return false;
      started.push(pending);
      return true;
    });
    started.forEach(pending => start(pending));
  }
}

function toItem(pending: PendingAsk, nowMs: number): TurnItem {
  const {askId, ask} = pending;
  const payload = toAskPayload(askId, ask, nowMs);
  const {promptTokens = 0, outputTokens = 0, dueInMs = 0} = payload ?? {};
  return {
    ...{id: askId, team: ask.team ?? ANONYMOUS_TEAM, priority: ask.priority},
    cost: findRequestCost({promptTokens, outputTokens}),
    ...{dueAtMs: nowMs + dueInMs, pending},
  };
}
