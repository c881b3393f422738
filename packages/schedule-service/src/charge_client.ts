/** Charges requests at the node that holds the quotas. */
import {type Clock, type Timer} from '@mimosatack/clock';
import {type QuotaCharge, type QuotaRefusal} from '@mimosatack/team-quotas';
import {type HolderAnswer, type ToHolderMessage} from './messages.js';

export interface ChargeClientOptions {
  clock: Clock;
  /** Returns false when no quota holder is known. */
  sendToHolder: (message: ToHolderMessage) => boolean;
}

type ChargeResult = QuotaRefusal | 'charged';

/** Bounds the wait; a holder of the previous release never answers. */
const ANSWER_TIMEOUT_MS = 300;

/** Sends `charge` messages and matches the holder's answers to them. */
export class ChargeClient {
  private readonly pending = new Map<string, (answer: ChargeResult) => void>();

  constructor(private readonly options: ChargeClientOptions) {}

  /**
   * Resolves with null when the holder has charged the request.
   *
   * @param refusal the result when the holder does not answer.
   */
  async requestCharge(
    askId: string,
    charge: QuotaCharge,
    refusal: QuotaRefusal,
  ): Promise<QuotaRefusal | null> {
    const {clock, sendToHolder} = this.options;
    if (!sendToHolder({type: 'charge', askId, charge})) return refusal;
    let timer: Timer | null = null;
    const answer = await new Promise<ChargeResult>(resolve => {
      this.pending.set(askId, resolve);
      timer = clock.setTimer(ANSWER_TIMEOUT_MS, () => resolve(refusal));
    });
    (timer as Timer | null)?.cancel();
    this.pending.delete(askId);
    return answer === 'charged' ? null : answer;
  }

  /** Returns false for a message that answers no pending charge. */
  settle(message: HolderAnswer): boolean {
    const resolve = this.pending.get(message.askId);
    if (message.type !== 'charged' || !resolve) return false;
    resolve(message.refusal ?? 'charged');
    return true;
  }
}
