/** The charges to teams' quotas for asks, from their arrival until their requests have ended. */
import {type EventLogger} from '@mimosatack/logger';
import {type QuotaCharge, type QuotaRefusal} from '@mimosatack/team-quotas';
import {type NodeIncarnation} from '@mimosatack/types';
import {type AskPayload, type FromHolderMessage} from './messages.js';
import {type HolderQuotas} from './scheduling_service.js';
import {findIncarnation} from './tracked_asks.js';

export interface TrackedChargesOptions {
  logger: EventLogger;
  quotas: HolderQuotas;
  send: (nodeAddress: string, message: FromHolderMessage) => void;
}

interface TrackedCharge {
  requestId: string;
  charge: QuotaCharge | null;
}

export class TrackedCharges {
  private readonly asks = new Map<string, TrackedCharge>();

  constructor(private readonly options: TrackedChargesOptions) {}

  findRequestId(askId: string): string | undefined {
    return this.asks.get(askId)?.requestId;
  }

  /** Returns false once the ask is refused since its team has used up its quota. */
  accept({askId, requestId, charge}: AskPayload, nodeAddress: string): boolean {
    // A repeated ask was charged the first time.
    if (this.asks.has(askId)) return true;
    const refusal = charge && this.options.quotas.chargeAtHolder(charge);
    if (charge && refusal) {
      this.refuse(askId, requestId, charge, refusal, nodeAddress);
      return false;
    }
    this.asks.set(askId, {requestId, charge});
    return true;
  }

  drop(askId: string, mayHaveRun: boolean): void {
    const charge = this.asks.get(askId)?.charge;
    if (charge && !mayHaveRun) this.options.quotas.refundAtHolder(charge);
    this.asks.delete(askId);
  }

  /** Forgets the asks of a process that is gone; what was charged for them stays so. */
  forgetAllOf(incarnation: NodeIncarnation): void {
    [...this.asks.keys()]
      .filter(askId => findIncarnation(askId) === incarnation)
      .forEach(askId => this.asks.delete(askId));
  }

  private refuse(
    askId: string,
    requestId: string,
    {team, amount}: QuotaCharge,
    {level, retryAfterMs, decidedBy}: QuotaRefusal,
    nodeAddress: string,
  ): void {
    this.options.logger.log('quota-refused', {
      ...{requestId, team, amount, retryAfterMs, decidedBy},
      left: Math.round(level),
    });
    this.options.send(nodeAddress, {
      ...{type: 'refused', askId, reason: 'over-quota', retryAfterMs},
    });
  }
}
