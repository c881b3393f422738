/**
 * Chooses a server by asking the node that schedules. While there is none the
 * node chooses by itself among the engines that hold the model.
 */
import {type Clock} from '@mimosatack/clock';
import {TypedError} from '@mimosatack/errors';
import {type RunResult} from '@mimosatack/schedule-models';
import {
  type AttemptResult,
  type ServerAsk,
  type ServerChoice,
  type ServerChooser,
  type ServerLoad,
} from '@mimosatack/serve-requests';
import {type BackendServerEntry, type BackendServerId} from '@mimosatack/types';
import {toAskTerms} from './ask_terms.js';
import {type AskTerms, type FromHolder, type ToHolder} from './messages.js';

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

interface OpenAsk {
  ask: ServerAsk;
  terms: AskTerms;
  settle: (choice: ServerChoice) => void;
}

interface Run {
  askId: string;
  ask: ServerAsk;
  engineId: BackendServerId;
}

/** Keeps what this node has asked for and runs. */
export class ScheduledChooser implements ServerChooser {
  private readonly open = new Map<string, OpenAsk>();
  private readonly runs = new Map<ServerAsk, Run>();
  private nextNumber = 1;

  constructor(private readonly options: ScheduledChooserOptions) {}

  async choose(ask: ServerAsk): Promise<ServerChoice> {
    const {clock, askPrefix, local, sendToHolder} = this.options;
    const askId = `${askPrefix}.${this.nextNumber++}`;
    const terms = ask.service.engine
      ? toAskTerms(askId, ask, clock.monotonicMs())
      : null;
    if (!terms || !sendToHolder({type: 'ask', ask: terms})) {
      return local.choose(ask);
    }
    return this.waitFor({ask, terms});
  }

  /** Takes an answer of the node that schedules. */
  receive(message: FromHolder): void {
    const opened = this.open.get(message.askId);
    if (message.type === 'refused') {
      opened?.settle({status: 'refused', error: makeRefusal(message)});
      return;
    }
    const {askId, engineId} = message;
    const server = this.options.findServer(engineId);
    if (opened && server) {
      this.runs.set(opened.ask, {askId, ask: opened.ask, engineId});
      const {receivedAtMs} = opened.ask.request;
      const waitedMs = this.options.clock.monotonicMs() - receivedAtMs;
      opened.settle({
        status: 'chosen',
        server,
        basis: {by: 'schedule', waitedMs: Math.round(waitedMs)},
      });
    } else {
      this.tellEnd(askId, engineId, 'neutral');
    }
  }

  /** Nobody schedules any more: what waits is chosen for here. */
  loseHolder(): void {
    [...this.open.values()].forEach(opened => {
      void this.options.local.choose(opened.ask).then(opened.settle);
    });
  }

  /** Tells a node that has just taken over what is under way here. */
  greetHolder(): void {
    const nowMs = this.options.clock.monotonicMs();
    const runs = [...this.runs.values()].flatMap(({askId, ask, engineId}) => {
      const terms = toAskTerms(askId, ask, nowMs);
      return terms ? [{ask: terms, engineId}] : [];
    });
    const asks = [...this.open.entries()].flatMap(([askId, {ask}]) => {
      const terms = toAskTerms(askId, ask, nowMs);
      return terms ? [terms] : [];
    });
    this.options.sendToHolder({type: 'under-way', asks, runs});
  }

  noteSent(server: BackendServerEntry, ask: ServerAsk): void {
    this.options.local.noteSent(server, ask);
  }

  noteLoad(server: BackendServerEntry, load: ServerLoad): void {
    this.options.local.noteLoad(server, load);
  }

  noteDone(
    server: BackendServerEntry,
    ask: ServerAsk,
    result: AttemptResult,
  ): void {
    this.options.local.noteDone(server, ask, result);
    const run = this.runs.get(ask);
    if (!run) return;
    this.runs.delete(ask);
    this.tellEnd(run.askId, run.engineId, toRunResult(result));
  }

  private waitFor({
    ask,
    terms,
  }: Omit<OpenAsk, 'settle'>): Promise<ServerChoice> {
    return new Promise(resolve => {
      const settle = (choice: ServerChoice) => {
        if (!this.open.delete(terms.askId)) return;
        ask.signal.removeEventListener('abort', onAbort);
        resolve(choice);
      };
      const onAbort = () => {
        this.options.sendToHolder({type: 'withdraw', askId: terms.askId});
        settle({status: 'refused', error: makeWithdrawn()});
      };
      this.open.set(terms.askId, {ask, terms, settle});
      ask.signal.addEventListener('abort', onAbort, {once: true});
      if (ask.signal.aborted) onAbort();
    });
  }

  private tellEnd(
    askId: string,
    engineId: BackendServerId,
    result: RunResult,
  ): void {
    this.options.sendToHolder({type: 'run-ended', askId, engineId, result});
  }
}

function toRunResult(result: AttemptResult): RunResult {
  switch (result) {
    case 'answered':
      return 'served';
    case 'not-run':
      return 'not-taken';
    case 'neutral':
      return 'neutral';
    default:
      return 'failed';
  }
}

function makeRefusal({
  reason,
  retryAfterMs,
}: Extract<FromHolder, {type: 'refused'}>): TypedError {
  return new TypedError('not-warm', `No engine can serve it now: ${reason}.`, {
    run: 'not-run',
    retryAfterMs,
    info: {reason},
  });
}

function makeWithdrawn(): TypedError {
  return new TypedError('deadline-exceeded', 'The request no longer waits.', {
    run: 'not-run',
  });
}
