import {ManualClock} from '@mimosatack/clock';
import {ENGINE_SERVICE, makeEngineService, settle} from '@mimosatack/fakes';
import {
  type ServerAsk,
  type ServerChoice,
  type ServerChooser,
} from '@mimosatack/serve-requests';
import {type QuotaCharge} from '@mimosatack/team-quotas';
import {type BackendServerEntry} from '@mimosatack/types';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type ToHolder} from './messages.js';
import {ScheduledChooser} from './scheduled_chooser.js';

const test = suite('what a choice takes out of a quota');

const CHARGE: QuotaCharge = {team: 'link', amount: 30, isForced: false};

const SERVER: BackendServerEntry = {
  ...{id: 'e1', startedAtMs: null, service: ENGINE_SERVICE},
  ...{address: {ip: '127.0.0.1', port: 1}, failureDomain: 'hall-a'},
  ...{slots: 4, state: 'ready', leavesInMs: null, residents: []},
  near: {inHostMemory: [], onDisk: []},
};

/** Chooses always the same server, or none. */
class FixedChooser implements ServerChooser {
  hasServer = true;

  choose(): Promise<ServerChoice> {
    const error = new Error('none') as never;
    return Promise.resolve(
      this.hasServer
        ? {
            ...{status: 'chosen', server: SERVER, askId: null},
            basis: {by: 'own-view'},
          }
        : {status: 'refused', error},
    );
  }

  release(): void {}
  noteSent(): void {}
  noteLoad(): void {}
  noteDone(): void {}
}

function makeAsk(isForEngine: boolean): ServerAsk {
  const generation = {
    ...{model: 'm0', adapter: null, promptTokens: 10, maxOutputTokens: 20},
    ...{expectedOutputTokens: null, promptParts: []},
  };
  return {
    request: {
      ...{requestId: 'r1', host: 'h', method: 'POST', path: '/a', headers: []},
      ...{body: new Uint8Array(), receivedAtMs: 0, deadlineMs: null},
      ...{lastEventId: null, keyHashes: [], tokenCount: 30},
      generation: isForEngine ? generation : null,
    },
    route: {
      ...{name: 'a', host: 'h', pathPrefix: '/a/', kind: 'streaming'},
      ...{timeoutMs: 5_000, targetLatencyMs: 500, targetGapMs: 300},
      ...{priority: 1, maxAttempts: 2, traffic: [], hasSessionAffinity: true},
      ...{isResumable: true, isPublic: false},
    },
    service: isForEngine
      ? makeEngineService()
      : {name: 'p', healthPath: '/', maxConnections: 9, engine: null},
    ...{excluded: new Set<string>(), allowed: null, endsAtMs: 5_000},
    ...{hasBegun: false, charge: CHARGE, priority: 0},
    signal: new AbortController().signal,
  };
}

function startChooser(room: number) {
  const sent: ToHolder[] = [];
  const local = new FixedChooser();
  const state = {charged: 0, isHeld: true, isUnsettled: false};
  const clock = new ManualClock();
  const refused: string[] = [];
  const chooser = new ScheduledChooser({
    ...{clock, askPrefix: 'n1', local},
    findServer: () => SERVER,
    sendToHolder: message => {
      if (state.isHeld) sent.push(message);
      return state.isHeld;
    },
    quotas: {
      charge: ({amount}) => {
        const level = room - state.charged;
        if (level < amount) {
          return {
            ...{level, retryAfterMs: 400, isUnsettled: state.isUnsettled},
            decidedBy: 'node',
          };
        }
        state.charged += amount;
        return null;
      },
      giveBack: ({amount}) => (state.charged -= amount),
    },
    onQuotaRefused: requestId => refused.push(requestId),
  });
  return {chooser, clock, local, sent, state, refused};
}

function expectChosen(choice: ServerChoice) {
  if (choice.status !== 'chosen') throw new Error('No server was chosen.');
  return choice;
}

test('a plain request is charged here, and refused beyond the quota', async () => {
  const {chooser, state, refused} = startChooser(50);
  expectChosen(await chooser.choose(makeAsk(false)));
  const second = await chooser.choose(makeAsk(false));
  assert.is(state.charged, 30);
  assert.equal(refused, ['r1']);
  assert.is(second.status === 'refused' && second.error.kind, 'rate-limited');
  assert.is(second.status === 'refused' && second.error.retryAfterMs, 400);
});

// Guards against the second of two requests that is refused though there is enough.
test('what this node may not spend by itself the holder is asked for', async () => {
  const {chooser, sent, state} = startChooser(0);
  state.isUnsettled = true;
  const choosing = chooser.choose(makeAsk(false));
  const [message] = sent;
  if (message?.type !== 'charge') throw new Error('The holder was not asked.');
  assert.equal(message.charge, CHARGE);
  const {askId} = message;
  chooser.receive({type: 'charged', askId, refusal: null});
  expectChosen(await choosing);
});

test('the holder refuses, or says nothing in time', async () => {
  const {chooser, clock, sent, state} = startChooser(0);
  state.isUnsettled = true;
  const refusal = {
    ...{level: 5, retryAfterMs: 900, isUnsettled: false},
    decidedBy: 'holder' as const,
  };
  const refused = chooser.choose(makeAsk(false));
  const askId = sent[0]?.type === 'charge' ? sent[0].askId : '';
  chooser.receive({type: 'charged', askId, refusal});
  const first = await refused;
  assert.is(first.status === 'refused' && first.error.retryAfterMs, 900);
  const unheard = chooser.choose(makeAsk(false));
  clock.advance(1_000);
  const second = await unheard;
  assert.is(second.status === 'refused' && second.error.retryAfterMs, 400);
});

// Guards against quotas that are used up by requests which never ran.
test('what has not run is given back', async () => {
  const {chooser, local, state} = startChooser(100);
  const results = ['not-taken', 'not-held', 'unreachable'] as const;
  for (const result of results) {
    const choice = expectChosen(await chooser.choose(makeAsk(false)));
    chooser.noteDone(choice, result, null);
  }
  chooser.release(expectChosen(await chooser.choose(makeAsk(false))));
  local.hasServer = false;
  await chooser.choose(makeAsk(false));
  assert.is(state.charged, 0);
});

test('what may have run is not given back', async () => {
  const {chooser, state} = startChooser(100);
  const results = ['answered', 'failed', 'neutral'] as const;
  for (const result of results) {
    const choice = expectChosen(await chooser.choose(makeAsk(false)));
    chooser.noteDone(choice, result, null);
  }
  assert.is(state.charged, 90);
});

test('a request for an engine is charged by the node that schedules', async () => {
  const {chooser, sent, state} = startChooser(100);
  void chooser.choose(makeAsk(true));
  assert.is(state.charged, 0);
  const [ask] = sent;
  assert.equal(ask?.type === 'ask' && ask.ask.charge, CHARGE);
});

test('while nobody schedules it is charged here', async () => {
  const {chooser, state} = startChooser(100);
  state.isHeld = false;
  expectChosen(await chooser.choose(makeAsk(true)));
  await settle();
  assert.is(state.charged, 30);
});

// Guards against a refusal that does not tell the caller's quota from want of room.
test('a refusal for the quota is told as one', async () => {
  const {chooser, sent} = startChooser(100);
  const choosing = chooser.choose(makeAsk(true));
  const [ask] = sent;
  const askId = ask?.type === 'ask' ? ask.ask.askId : '';
  chooser.receive({
    ...{type: 'refused', askId, reason: 'over-quota', retryAfterMs: 250},
  });
  const choice = await choosing;
  assert.is(choice.status === 'refused' && choice.error.kind, 'rate-limited');
  assert.is(choice.status === 'refused' && choice.error.retryAfterMs, 250);
});

test.run();
