/** Asks the scheduling node for permits to send requests to limited servers. */
import {type Clock, type Timer} from '@mimosatack/clock';
import {type ServerPermits} from '@mimosatack/serve-requests';
import {type ServerLimiter} from '@mimosatack/share-limits';
import {type BackendServerEntry, type BackendServerId} from '@mimosatack/types';
import {type HolderAnswer, type ToHolderMessage} from './messages.js';

export interface PermitClientOptions {
  clock: Clock;
  /** Prefix of ask ids, unique to this process among all nodes. */
  askIdPrefix: string;
  /** Returns false when no scheduling node is known. */
  sendToHolder: (message: ToHolderMessage) => boolean;
  /** Spends this host's share while no scheduling node answers. */
  limiter: ServerLimiter;
}

/**
 * Bounds the wait for a holder of the previous release, which does not answer. A place
 * that is granted later is lost.
 */
const ANSWER_TIMEOUT_MS = 1_000;
/** Wait before the next attempt without a share of the limit. */
const NO_SHARE_WAIT_MS = 250;

type Answer = {kind: 'decided'; waitMs: number} | {kind: 'undecided'};

export class PermitClient implements ServerPermits {
  private readonly pending = new Map<string, (answer: Answer) => void>();
  private readonly deniedUntilMs = new Map<BackendServerId, number>();
  private nextAskNumber = 1;
  private spendsOwnShare = false;

  constructor(private readonly options: PermitClientOptions) {}

  /** Called when the contact to the scheduling node is lost. */
  handleHolderLost(): void {
    this.spendsOwnShare = false;
    this.pending.forEach(resolve => resolve({kind: 'undecided'}));
  }

  isLimited(server: BackendServerEntry): boolean {
    const isLimited = this.options.limiter.isLimited(server);
    if (!isLimited) this.deniedUntilMs.delete(server.id);
    return isLimited;
  }

  async request(
    server: BackendServerEntry,
    maxWaitMs: number,
  ): Promise<number> {
    const deniedForMs = (this.deniedUntilMs.get(server.id) ?? 0) - this.nowMs();
    // Saves a message for each request that another server can serve.
    if (maxWaitMs === 0 && deniedForMs > 0) return deniedForMs;
    const answer = await this.askHolder(server, maxWaitMs);
    if (answer.kind === 'decided') this.spendsOwnShare = false;
    const waitMs =
      answer.kind === 'decided'
        ? answer.waitMs
        : this.takeOwnShare(server, maxWaitMs);
    if (maxWaitMs === 0) {
      this.deniedUntilMs.set(server.id, this.nowMs() + waitMs);
    }
    return waitMs;
  }

  /** Returns false for a message that answers no pending request. */
  settle(message: HolderAnswer): boolean {
    const resolve = this.pending.get(message.askId);
    if (!resolve) return false;
    resolve(
      message.type === 'permitted'
        ? {kind: 'decided', waitMs: message.waitMs}
        : {kind: 'undecided'},
    );
    return true;
  }

  private async askHolder(
    {id}: BackendServerEntry,
    maxWaitMs: number,
  ): Promise<Answer> {
    const {clock, askIdPrefix, sendToHolder} = this.options;
    const askId = `${askIdPrefix}.permit.${this.nextAskNumber++}`;
    let timer: Timer | null = null;
    const answer = new Promise<Answer>(resolve => {
      this.pending.set(askId, resolve);
      timer = clock.setTimer(ANSWER_TIMEOUT_MS, () =>
        resolve({kind: 'undecided'}),
      );
    });
    const isSent = sendToHolder({
      ...{type: 'permit', askId, serverId: id, maxWaitMs},
    });
    if (!isSent) this.pending.get(askId)?.({kind: 'undecided'});
    const settled = await answer;
    (timer as Timer | null)?.cancel();
    this.pending.delete(askId);
    return settled;
  }

  private takeOwnShare(server: BackendServerEntry, maxWaitMs: number): number {
    const {limiter} = this.options;
    // Guards against what all hosts have saved up while another node spent the limit.
    if (!this.spendsOwnShare) limiter.clear();
    this.spendsOwnShare = true;
    const waitMs = limiter.tryTake(server, this.nowMs(), maxWaitMs);
    return Number.isFinite(waitMs) ? waitMs : NO_SHARE_WAIT_MS;
  }

  private nowMs(): number {
    return this.options.clock.monotonicMs();
  }
}
