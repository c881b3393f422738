/**
 * Chooses a server by asking the node that schedules. While there is none the
 * node chooses by itself among the engines that hold the model; what needs a
 * load waits a little for the next node that schedules.
 */
import {type Clock} from '@mimosatack/clock';
import {TypedError} from '@mimosatack/errors';
import {type RunResult} from '@mimosatack/schedule-models';
import {
  type AttemptResult,
  type ChosenServer,
  type ServerAsk,
  type ServerChoice,
  type ServerChooser,
  type ServerLoad,
} from '@mimosatack/serve-requests';
import {type BackendServerEntry, type BackendServerId} from '@mimosatack/types';
import {type QuotaCharge, type QuotaRefusal} from '@mimosatack/team-quotas';
import {toAskTerms} from './ask_terms.js';
import {Charging} from './charging.js';
import {type AskTerms, type FromHolder, type ToHolder} from './messages.js';
import {OpenAsk} from './open_ask.js';
import {saysNotRun} from './says_not_run.js';

/** What the chooser is built from. */
export interface ScheduledChooserOptions {
  clock: Clock;
  /** Unique among all nodes and their lives; begins every ask's id. */
  askPrefix: string;
  /** Chooses what is not scheduled, and all while nobody schedules. */
  local: ServerChooser;
  findServer: (id: BackendServerId) => BackendServerEntry | undefined;
  /** False when nobody schedules just now. */
  sendToHolder: (message: ToHolder) => boolean;
  quotas: LocalQuotas;
  /** Told of a request that this node found beyond its team's quota. */
  onQuotaRefused: (
    requestId: string,
    charge: QuotaCharge,
    refusal: QuotaRefusal,
  ) => void;
}

/** Charges requests that the node that schedules is not asked for. */
export interface LocalQuotas {
  charge(charge: QuotaCharge): QuotaRefusal | null;
  giveBack(charge: QuotaCharge): void;
}

/**
 * A request that needs a load waits this long for a node that schedules: the
 * next one takes over about two seconds after the last one was heard.
 */
const ORPHAN_WAIT_MS = 1_500;
const RETRY_AFTER_MS = 1_000;

interface Run {
  askId: string;
  ask: ServerAsk;
  engineId: BackendServerId;
}

/** Keeps what this node has asked for and runs. */
export class ScheduledChooser implements ServerChooser {
  private readonly open = new Map<string, OpenAsk>();
  private readonly runs = new Map<string, Run>();
  private readonly charging: Charging;
  private nextNumber = 1;

  constructor(private readonly options: ScheduledChooserOptions) {
    this.charging = new Charging(options);
  }

  /** Requests that wait for an answer of the node that schedules. */
  get openCount(): number {
    return this.open.size;
  }

  async choose(ask: ServerAsk): Promise<ServerChoice> {
    const {clock, askPrefix, sendToHolder} = this.options;
    const askId = `${askPrefix}.${this.nextNumber++}`;
    const terms = ask.service.engine
      ? toAskTerms(askId, ask, clock.monotonicMs())
      : null;
    if (!terms) return this.chooseCharged(ask);
    const opened = this.openAsk(askId, ask);
    opened.isHeard = sendToHolder({type: 'ask', ask: terms});
    if (!opened.isHeard) this.chooseHere(opened);
    return opened.choice;
  }

  /** Takes an answer of the node that schedules. */
  receive(message: FromHolder): void {
    if (this.charging.take(message) || message.type === 'charged') return;
    const opened = this.open.get(message.askId);
    if (message.type === 'refused') {
      opened?.settle({
        status: 'refused',
        error: makeRefusal(message, opened.ask.charge),
      });
      return;
    }
    if (message.type === 'not-scheduling') {
      if (opened) this.orphan(opened);
      return;
    }
    const {askId, engineId} = message;
    const server = this.options.findServer(engineId);
    if (opened && server) return this.assign(opened, server);
    const result = opened ? 'unreachable' : 'neutral';
    this.tellEnd(askId, engineId, result, null, true);
    if (opened) this.askAgain(opened, engineId);
  }

  /** Nobody schedules any more: what waits is chosen for here. */
  loseHolder(): void {
    [...this.open.values()].forEach(opened => this.orphan(opened));
  }

  /** Tells a node that has just taken over what is under way here. */
  greetHolder(): void {
    const asks = [...this.open.values()].flatMap(({askId, ask}) =>
      this.describe(askId, ask),
    );
    const runs = [...this.runs.values()].flatMap(({askId, ask, engineId}) =>
      this.describe(askId, ask).map(terms => ({ask: terms, engineId})),
    );
    const isHeard = this.options.sendToHolder({type: 'under-way', asks, runs});
    this.open.forEach(opened => (opened.isHeard ||= isHeard));
  }

  release(choice: ChosenServer): void {
    this.options.local.release(choice);
    this.giveBack(choice);
    this.endRun(choice, 'neutral', null, true);
  }

  noteSent(choice: ChosenServer): void {
    this.options.local.noteSent(choice);
  }

  noteLoad(server: BackendServerEntry, load: ServerLoad): void {
    this.options.local.noteLoad(server, load);
  }

  noteDone(
    choice: ChosenServer,
    result: AttemptResult,
    headMs: number | null,
  ): void {
    this.options.local.noteDone(choice, result, headMs);
    if (saysNotRun(result)) this.giveBack(choice);
    this.endRun(choice, result === 'answered' ? 'served' : result, headMs);
  }

  private endRun(
    {askId, server}: ChosenServer,
    result: RunResult,
    headMs: number | null,
    isUnsent = false,
  ): void {
    if (askId === null || !this.runs.delete(askId)) return;
    this.tellEnd(askId, server.id, result, headMs, isUnsent);
  }

  /** By this node's own view; what is beyond the quota goes nowhere. */
  private async chooseCharged(ask: ServerAsk): Promise<ServerChoice> {
    const {local, quotas} = this.options;
    const {charge} = ask;
    const refusal = charge && (await this.charge(charge));
    if (charge && refusal) {
      const {retryAfterMs} = refusal;
      this.options.onQuotaRefused(ask.request.requestId, charge, refusal);
      return {status: 'refused', error: makeOverQuota(charge, retryAfterMs)};
    }
    const choice = await local.choose(ask);
    if (choice.status === 'chosen') return {...choice, charge};
    if (charge) quotas.giveBack(charge);
    return choice;
  }

  /**
   * Guards against requests that are refused though their team has enough left:
   * two of a team that come to one node between two heartbeats. The holder is
   * asked for those alone.
   */
  private async charge(charge: QuotaCharge): Promise<QuotaRefusal | null> {
    const refusal = this.options.quotas.charge(charge);
    if (!refusal?.isUnsettled) return refusal;
    const askId = `${this.options.askPrefix}.${this.nextNumber++}`;
    return this.charging.ask(askId, charge, refusal);
  }

  private giveBack({charge}: ChosenServer): void {
    if (charge) this.options.quotas.giveBack(charge);
  }

  private openAsk(askId: string, ask: ServerAsk): OpenAsk {
    const opened = new OpenAsk(askId, ask, {
      onSettled: () => this.open.delete(askId),
      onWithdrawn: () => this.options.sendToHolder({type: 'withdraw', askId}),
    });
    if (!ask.signal.aborted) this.open.set(askId, opened);
    return opened;
  }

  private assign(opened: OpenAsk, server: BackendServerEntry): void {
    const {ask, askId} = opened;
    const nowMs = this.options.clock.monotonicMs();
    const waitedMs = Math.round(nowMs - ask.request.receivedAtMs);
    this.runs.set(askId, {askId, ask, engineId: server.id});
    opened.settle({
      status: 'chosen',
      server,
      basis: {by: 'schedule', waitedMs},
      askId,
    });
  }

  /**
   * Guards against a request that waits for ever: it was assigned to a server
   * that this node has seen leave and the node that schedules has not.
   */
  private askAgain(opened: OpenAsk, engineId: BackendServerId): void {
    opened.exclude(engineId);
    const [terms] = this.describe(opened.askId, opened.ask);
    if (!terms || !this.options.sendToHolder({type: 'ask', ask: terms})) {
      this.chooseHere(opened);
    }
  }

  private orphan(opened: OpenAsk): void {
    opened.isHeard = false;
    this.chooseHere(opened);
  }

  private chooseHere(opened: OpenAsk): void {
    const {clock} = this.options;
    void this.chooseCharged(opened.ask).then(choice => {
      if (choice.status === 'chosen') {
        if (!opened.settle(choice)) this.release(choice);
        return;
      }
      clock.setTimer(ORPHAN_WAIT_MS, () => {
        if (!opened.isHeard) opened.settle(choice);
      });
    });
  }

  private describe(askId: string, ask: ServerAsk): AskTerms[] {
    const terms = toAskTerms(askId, ask, this.options.clock.monotonicMs());
    return terms ? [terms] : [];
  }

  private tellEnd(
    askId: string,
    engineId: BackendServerId,
    result: RunResult,
    headMs: number | null,
    isUnsent = false,
  ): void {
    this.options.sendToHolder({
      ...{type: 'run-ended', askId, engineId, result, headMs, isUnsent},
    });
  }
}

function makeRefusal(
  {reason, retryAfterMs}: Extract<FromHolder, {type: 'refused'}>,
  charge: QuotaCharge | null,
): TypedError {
  if (reason === 'over-quota') return makeOverQuota(charge, retryAfterMs);
  return new TypedError('not-warm', `No engine can serve it now: ${reason}.`, {
    run: 'not-run',
    retryAfterMs: Math.max(retryAfterMs, RETRY_AFTER_MS / 2),
    info: {reason},
  });
}

function makeOverQuota(
  charge: QuotaCharge | null,
  retryAfterMs: number,
): TypedError {
  const team = charge?.team ?? '';
  return new TypedError(
    'rate-limited',
    `The team ${team} has used up its quota.`,
    {run: 'not-run', retryAfterMs, info: {team, amount: charge?.amount}},
  );
}
