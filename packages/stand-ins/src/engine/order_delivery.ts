/** How orders reach an engine: at once, late, or with the answer lost. */
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

/** Whether the sender of an order gets to know that it was taken. */
export type DeliveryResult = 'answered' | 'answer-lost';

/** Carries orders to the engine as its faults say. */
export class OrderDelivery {
  private held: Array<() => void> = [];

  constructor(private readonly core: EngineStandIn) {}

  /** Throws the refusal, if the order is refused. */
  async deliver(input: JsonObject): Promise<DeliveryResult> {
    const order = readOrder(input);
    const {faults} = this.core;
    const isLost = faults.take('loseOrderAnswers');
    const {delayOrdersMs, answerLateOrdersFirst} = faults.values;
    const isHeld = faults.take('holdOrders');
    if (isHeld || delayOrdersMs > 0) {
      const arrival = this.arriveLate(order, isHeld, delayOrdersMs);
      // The sender has its answer already; the refusal shows as observed.
      if (answerLateOrdersFirst) arrival.catch(() => undefined);
      else await arrival;
    } else {
      this.arrive(order);
    }
    return isLost ? 'answer-lost' : 'answered';
  }

  /** Lets all held orders arrive, in the order in which they were sent. */
  releaseHeld(): void {
    const released = this.held;
    this.held = [];
    released.forEach(release => release());
  }

  private async arriveLate(
    order: EngineOrder,
    isHeld: boolean,
    delayMs: number,
  ): Promise<void> {
    if (isHeld) await new Promise<void>(resolve => this.held.push(resolve));
    else await sleep(this.core.clock, delayMs);
    await this.core.gate.whenOpen();
    this.arrive(order);
  }

  private arrive(order: EngineOrder): void {
    if (!this.core.faults.take('refuseOrders')) {
      return this.core.applyOrder(order);
    }
    this.core.noteRefusedOrder(order);
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
