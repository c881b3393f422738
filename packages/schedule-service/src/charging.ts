/** Has plain requests charged by the node that holds the quotas. */
import {type Clock, type Timer} from '@mimosatack/clock';
import {type QuotaCharge, type QuotaRefusal} from '@mimosatack/team-quotas';
import {type FromHolder, type ToHolder} from './messages.js';

/** What the requests are charged through. */
export interface ChargingOptions {
  clock: Clock;
  /** False when nobody holds the quotas just now. */
  sendToHolder: (message: ToHolder) => boolean;
}

/** What the holder said: a refusal, or that it is charged. */
type ChargeAnswer = QuotaRefusal | 'charged';

/** An answer takes some ms; a holder of the release before gives none. */
const ANSWER_TIMEOUT_MS = 300;

/** Waits for the answers of the holder. */
export class Charging {
  private readonly open = new Map<string, (answer: ChargeAnswer) => void>();

  constructor(private readonly options: ChargingOptions) {}

  /**
   * Null when it is charged.
   *
   * @param refusal what holds while nobody answers.
   */
  async ask(
    askId: string,
    charge: QuotaCharge,
    refusal: QuotaRefusal,
  ): Promise<QuotaRefusal | null> {
    const {clock, sendToHolder} = this.options;
    if (!sendToHolder({type: 'charge', askId, charge})) return refusal;
    let timer: Timer | null = null;
    const answer = await new Promise<ChargeAnswer>(resolve => {
      this.open.set(askId, resolve);
      timer = clock.setTimer(ANSWER_TIMEOUT_MS, () => resolve(refusal));
    });
    (timer as Timer | null)?.cancel();
    this.open.delete(askId);
    return answer === 'charged' ? null : answer;
  }

  /** False for an answer to something else. */
  take(message: FromHolder): boolean {
    const resolve = this.open.get(message.askId);
    if (message.type !== 'charged' || !resolve) return false;
    resolve(message.refusal ?? 'charged');
    return true;
  }
}
