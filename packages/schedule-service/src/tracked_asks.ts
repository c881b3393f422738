/** The asks of all nodes that the scheduling node knows of. */
import {type BackendServerId, type NodeIncarnation} from '@mimosatack/types';
import {type QuotaCharge} from '@mimosatack/team-quotas';
import {type ModelAsk} from './messages.js';

/** An ask, from its arrival until its request has ended. */
export interface TrackedAsk {
  askId: string;
  nodeAddress: string;
  requestId: string;
  model: string;
  adapter: string | null;
  arrivedAtMs: number;
  /** What was charged to the team's quota here; null if nothing was. */
  charge: QuotaCharge | null;
  /** The engine that the request is assigned to; null while it waits. */
  engineId: BackendServerId | null;
  /** When its node ends the request at the latest; null if that is not known. */
  endsAtMs: number | null;
}

/**
 * Added to a request's own deadline, since the message that it has ended takes longer from
 * a node that is short of processor time.
 */
export const END_MESSAGE_GRACE_MS = 3_000;

interface NodeProcess {
  current: NodeIncarnation;
  /** Its messages may arrive after the first of the current one. */
  previous: NodeIncarnation | null;
}

/**
 * Finds the asks whose node can no longer tell how they end. Answers nodes that are killed
 * or restarted: their requests would otherwise keep places at engines, and models in memory.
 */
export class TrackedAsks {
  private readonly asks = new Map<string, TrackedAsk>();
  /** The processes that were last heard of, by address. */
  private readonly processes = new Map<string, NodeProcess>();

  get(askId: string): TrackedAsk | undefined {
    return this.asks.get(askId);
  }

  /** Adds an ask that waits, or replaces the one with the same id. */
  add(
    {askId, requestId, model, adapter, ...ask}: ModelAsk,
    nodeAddress: string,
    nowMs: number,
  ): TrackedAsk {
    const {waitedMs, runEndsInMs, charge} = ask;
    const added: TrackedAsk = {
      ...{askId, nodeAddress, requestId, model, adapter, charge},
      arrivedAtMs: nowMs - waitedMs,
      engineId: this.asks.get(askId)?.engineId ?? null,
      endsAtMs: runEndsInMs === null ? null : nowMs + runEndsInMs,
    };
    this.asks.set(askId, added);
    return added;
  }

  /**
   * Adds a request that runs at an engine. If the previous scheduling node has charged it,
   * nothing is refunded: the level that this node took over may not show the charge.
   */
  addRunning(
    ask: ModelAsk,
    engineId: BackendServerId,
    nodeAddress: string,
    nowMs: number,
  ): void {
    const charge = this.asks.get(ask.askId)?.charge ?? null;
    this.add({...ask, charge}, nodeAddress, nowMs).engineId = engineId;
  }

  remove(askId: string): TrackedAsk | undefined {
    const known = this.asks.get(askId);
    this.asks.delete(askId);
    return known;
  }

  /**
   * Records the process that sent a message from an address, and returns the asks of the
   * process that it replaces there; null for a late message of a process that was replaced.
   */
  recordProcess(
    nodeAddress: string,
    incarnation: NodeIncarnation,
  ): TrackedAsk[] | null {
    const known = this.processes.get(nodeAddress);
    if (known?.current === incarnation) return [];
    if (known?.previous === incarnation) return null;
    const previous = known?.current ?? null;
    this.processes.set(nodeAddress, {current: incarnation, previous});
    return previous === null ? [] : this.listOf(previous);
  }

  /** The asks of one process of a node. */
  listOf(incarnation: NodeIncarnation): TrackedAsk[] {
    return [...this.asks.values()].filter(
      ({askId}) => findIncarnation(askId) === incarnation,
    );
  }

  /** Requests that run and that their nodes must have ended by now. */
  listOverdue(nowMs: number): TrackedAsk[] {
    return [...this.asks.values()].filter(
      ({engineId, endsAtMs}) =>
        engineId !== null &&
        endsAtMs !== null &&
        endsAtMs + END_MESSAGE_GRACE_MS < nowMs,
    );
  }
}

/** An ask id consists of the incarnation of its node and a number. */
export function findIncarnation(askId: string): NodeIncarnation {
  return askId.slice(0, askId.lastIndexOf('.'));
}
