/** Delivers orders to an engine subject to its order faults. */
import {sleep} from '@mimosatack/clock';
import {type EngineOrder} from '@mimosatack/platform';
import {HttpProblem} from '../shared/http_problem.js';
import {
  type JsonObject,
  readChoice,
  readNullableString,
  readNumber,
  readString,
} from '../shared/input.js';
import {type EngineStandIn} from './engine_core.js';

/** Whether the sender of an order receives the answer. */
export type DeliveryResult = 'answered' | 'answer-lost';

/** Delays, holds or refuses orders as the engine's faults specify. */
export class OrderDelivery {
  private held: Array<() => void> = [];

  constructor(private readonly core: EngineStandIn) {}

  /** Throws an `HttpProblem` when the order is refused before its answer. */
  async deliver(input: JsonObject): Promise<DeliveryResult> {
    const order = readOrder(input);
    const {faults} = this.core;
    const isAnswerLost = faults.take('loseOrderAnswers');
    const {delayOrdersMs, answerLateOrdersFirst} = faults.values;
    const isHeld = faults.take('holdOrders');
    if (isHeld || delayOrdersMs > 0) {
      const applied = this.applyDelayed(order, isHeld, delayOrdersMs);
      // The sender already has a 202; the observer records a later refusal.
      if (answerLateOrdersFirst) applied.catch(() => undefined);
      else await applied;
    } else {
      this.applyOrRefuse(order);
    }
    return isAnswerLost ? 'answer-lost' : 'answered';
  }

  /** Delivers all held orders, in the order in which they were received. */
  releaseHeld(): void {
    const released = this.held;
    this.held = [];
    released.forEach(release => release());
  }

  private async applyDelayed(
    order: EngineOrder,
    isHeld: boolean,
    delayMs: number,
  ): Promise<void> {
    if (isHeld) await new Promise<void>(resolve => this.held.push(resolve));
    else await sleep(this.core.clock, delayMs);
    await this.core.gate.whenOpen();
    this.applyOrRefuse(order);
  }

  private applyOrRefuse(order: EngineOrder): void {
    if (!this.core.faults.take('refuseOrders')) {
      return this.core.applyOrder(order);
    }
    this.core.recordRefusedOrder(order);
    throw new HttpProblem(503, 'refused', 'The engine takes no orders now.');
  }
}

function readOrder(input: JsonObject): EngineOrder {
  const order = readChoice(input, 'order', ['load', 'unload', 'set-role']);
  const header = {
    orderId: readString(input, 'orderId'),
    fencingNumber: readNumber(input, 'fencingNumber'),
  };
  if (order === 'set-role') {
    const role = readChoice(input, 'role', ['prefill', 'decode', 'both']);
    return {...header, order, role};
  }
  const slotId = readString(input, 'slotId');
  if (order === 'unload') return {...header, order, slotId};
  return {
    ...header,
    order,
    slotId,
    model: readString(input, 'model'),
    adapter: readNullableString(input, 'adapter'),
    version: readString(input, 'version'),
    memoryMib: readNumber(input, 'memoryMib'),
  };
}
