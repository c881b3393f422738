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
import {toAskTerms} from './ask_terms.js';
import {type AskTerms, type FromHolder, type ToHolder} from './messages.js';
import {OpenAsk} from './open_ask.js';

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
  private nextNumber = 1;

  constructor(private readonly options: ScheduledChooserOptions) {}

  /** Requests that wait for an answer of the node that schedules. */
  get openCount(): number {
    return this.open.size;
  }

  async choose(ask: ServerAsk): Promise<ServerChoice> {
    const {clock, askPrefix, local, sendToHolder} = this.options;
    const askId = `${askPrefix}.${this.nextNumber++}`;
    const terms = ask.service.engine
      ? toAskTerms(askId, ask, clock.monotonicMs())
      : null;
    if (!terms) return local.choose(ask);
    const opened = this.openAsk(askId, ask);
    opened.isHeard = sendToHolder({type: 'ask', ask: terms});
    if (!opened.isHeard) this.chooseHere(opened);
    return opened.choice;
  }

  /** Takes an answer of the node that schedules. */
  receive(message: FromHolder): void {
    const opened = this.open.get(message.askId);
    if (message.type === 'refused') {
      opened?.settle({status: 'refused', error: makeRefusal(message)});
      return;
    }
    if (message.type === 'not-scheduling') {
      if (opened) this.orphan(opened);
      return;
    }
    const {askId, engineId} = message;
    const server = this.options.findServer(engineId);
    if (opened && server) return this.assign(opened, server);
    this.tellEnd(askId, engineId, opened ? 'unreachable' : 'neutral', null);
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
    this.endRun(choice, 'neutral', null);
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
    this.endRun(choice, result === 'answered' ? 'served' : result, headMs);
  }

  private endRun(
    {askId, server}: ChosenServer,
    result: RunResult,
    headMs: number | null,
  ): void {
    if (askId === null || !this.runs.delete(askId)) return;
    this.tellEnd(askId, server.id, result, headMs);
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
    const {local, clock} = this.options;
    void local.choose(opened.ask).then(choice => {
      if (choice.status === 'chosen') return opened.settle(choice);
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
  ): void {
    this.options.sendToHolder({
      ...{type: 'run-ended', askId, engineId, result, headMs},
    });
  }
}

function makeRefusal({
  reason,
  retryAfterMs,
}: Extract<FromHolder, {type: 'refused'}>): TypedError {
  return new TypedError('not-warm', `No engine can serve it now: ${reason}.`, {
    run: 'not-run',
    retryAfterMs: Math.max(retryAfterMs, RETRY_AFTER_MS / 2),
    info: {reason},
  });
}
