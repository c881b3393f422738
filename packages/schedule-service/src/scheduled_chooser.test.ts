import {ManualClock} from '@mimosatack/clock';
import {
  ENGINE_SERVICE,
  makeEngineService,
  flushPendingCallbacks,
} from '@mimosatack/fakes';
import {
  type ServerAsk,
  type ServerChoice,
  type ServerChooser,
} from '@mimosatack/serve-requests';
import {type QuotaCharge} from '@mimosatack/team-quotas';
import {type AvailabilityReport} from '@mimosatack/track-availability';
import {type BackendServerEntry} from '@mimosatack/types';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type ToHolderMessage} from './messages.js';
import {PressureReporter} from './pressure_reporter.js';
import {ScheduledChooser} from './scheduled_chooser.js';

const test = suite('quota charges of the scheduled chooser');

const CHARGE: QuotaCharge = {team: 'link', amount: 30, isForced: false};

const SERVER: BackendServerEntry = {
  ...{id: 'e1', startedAtMs: null, service: ENGINE_SERVICE},
  softwareVersion: 'v1',
  ...{address: {ip: '127.0.0.1', port: 1}, failureDomain: 'hall-a'},
  ...{slots: 4, state: 'ready', leavesInMs: null, residents: []},
  near: {inHostMemory: [], onDisk: []},
};

class FixedChooser implements ServerChooser {
  hasServer = true;

  choose(): Promise<ServerChoice> {
    const error = new Error('no server') as never;
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
  recordSent(): void {}
  recordLoad(): void {}
  recordTerms(): void {}
  recordResult(): void {}
}

function makeAsk(
  isEngineRequest: boolean,
  team: string | null = null,
): ServerAsk {
  const generation = {
    ...{model: 'm0', adapter: null, promptTokens: 10, maxOutputTokens: 20},
    ...{expectedOutputTokens: null, promptParts: []},
  };
  return {
    request: {
      ...{requestId: 'r1', host: 'h', method: 'POST', path: '/a', headers: []},
      ...{body: new Uint8Array(), receivedAtMs: 0, deadlineMs: null},
      ...{
        lastEventId: null,
        resumedRequestId: null,
        keyHashes: [],
        tokenCount: 30,
      },
      generation: isEngineRequest ? generation : null,
    },
    route: {
      ...{name: 'a', host: 'h', pathPrefix: '/a/', kind: 'streaming'},
      ...{timeoutMs: 5_000, targetLatencyMs: 500, targetGapMs: 300},
      ...{priority: 1, maxAttempts: 2, traffic: [], hasSessionAffinity: true},
      ...{isResumable: true, isPublic: false},
    },
    service: isEngineRequest
      ? makeEngineService()
      : {name: 'p', healthPath: '/', maxConnections: 9, engine: null},
    ...{excluded: new Set<string>(), allowed: null, endsAtMs: 5_000},
    softwareVersion: null,
    team,
    ...{hasBegun: false, charge: CHARGE, priority: 0},
    signal: new AbortController().signal,
  };
}

function startChooser(limit: number) {
  const sent: ToHolderMessage[] = [];
  const local = new FixedChooser();
  const reports: AvailabilityReport[] = [];
  const state = {
    ...{charged: 0, hasHolder: true, isUnsettled: false, reports},
    areAllLeaving: false,
    localLimit: null as number | null,
    hasTeamShares: true,
  };
  const clock = new ManualClock();
  const refused: string[] = [];
  const sendToHolder = (message: ToHolderMessage) => {
    if (state.hasHolder) sent.push(message);
    return state.hasHolder;
  };
  const hasTeamShares = () => state.hasTeamShares;
  const chooser = new ScheduledChooser({
    ...{clock, askIdPrefix: 'n1', local, sendToHolder},
    pressure: new PressureReporter({clock, hasTeamShares, sendToHolder}),
    permits: {settle: () => false, handleHolderLost: () => undefined},
    availability: {describe: () => state.reports, list: () => state.reports},
    findServer: () => SERVER,
    areAllLeaving: () => state.areAllLeaving,
    findLocalLimit: () => state.localLimit,
    quotas: {
      charge: ({amount}) => {
        const level = limit - state.charged;
        if (level < amount) {
          return {
            ...{level, retryAfterMs: 400, isUnsettled: state.isUnsettled},
            decidedBy: 'node',
          };
        }
        state.charged += amount;
        return null;
      },
      refund: ({amount}) => (state.charged -= amount),
    },
    onQuotaRefused: requestId => refused.push(requestId),
  });
  return {chooser, clock, local, sent, state, refused};
}

function expectChosen(choice: ServerChoice) {
  if (choice.status !== 'chosen') throw new Error('No server was chosen.');
  return choice;
}

test('a request without a model is charged locally', async () => {
  const {chooser, state, refused} = startChooser(50);
  expectChosen(await chooser.choose(makeAsk(false)));
  const second = await chooser.choose(makeAsk(false));
  assert.is(state.charged, 30);
  assert.equal(refused, ['r1']);
  assert.is(second.status === 'refused' && second.error.kind, 'rate-limited');
  assert.is(second.status === 'refused' && second.error.retryAfterMs, 400);
});

// Guards against refusing a team's second request while it has quota left.
test('a charge beyond the unsettled share is sent to the holder', async () => {
  const {chooser, sent, state} = startChooser(0);
  state.isUnsettled = true;
  const pendingChoice = chooser.choose(makeAsk(false));
  const [message] = sent;
  if (message?.type !== 'charge') throw new Error('No charge was sent.');
  assert.equal(message.charge, CHARGE);
  const {askId} = message;
  chooser.receive({type: 'charged', askId, refusal: null});
  expectChosen(await pendingChoice);
});

test('a charge is refused by the holder, or after a timeout', async () => {
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
  const unanswered = chooser.choose(makeAsk(false));
  clock.advance(1_000);
  const second = await unanswered;
  assert.is(second.status === 'refused' && second.error.retryAfterMs, 400);
});

// Guards against quotas that are used up by requests that never ran.
test('the charge of a request that has not run is refunded', async () => {
  const {chooser, local, state} = startChooser(100);
  const results = ['not-taken', 'not-held', 'unreachable'] as const;
  for (const result of results) {
    const choice = expectChosen(await chooser.choose(makeAsk(false)));
    chooser.recordResult(choice, result, null);
  }
  chooser.release(expectChosen(await chooser.choose(makeAsk(false))));
  local.hasServer = false;
  await chooser.choose(makeAsk(false));
  assert.is(state.charged, 0);
});

test('the charge of a request that may have run is kept', async () => {
  const {chooser, state} = startChooser(100);
  const results = ['answered', 'failed', 'neutral'] as const;
  for (const result of results) {
    const choice = expectChosen(await chooser.choose(makeAsk(false)));
    chooser.recordResult(choice, result, null);
  }
  assert.is(state.charged, 90);
});

test('a request for an engine is charged by the scheduling node', async () => {
  const {chooser, sent, state} = startChooser(100);
  void chooser.choose(makeAsk(true));
  assert.is(state.charged, 0);
  const [ask] = sent;
  assert.equal(ask?.type === 'ask' && ask.ask.charge, CHARGE);
});

test('a request is charged locally without a scheduling node', async () => {
  const {chooser, state} = startChooser(100);
  state.hasHolder = false;
  expectChosen(await chooser.choose(makeAsk(true)));
  await flushPendingCallbacks();
  assert.is(state.charged, 30);
});

// Guards against reporting an exceeded quota as a lack of capacity.
test('an over-quota refusal becomes a rate-limited error', async () => {
  const {chooser, sent} = startChooser(100);
  const pendingChoice = chooser.choose(makeAsk(true));
  const [ask] = sent;
  const askId = ask?.type === 'ask' ? ask.ask.askId : '';
  chooser.receive({
    ...{type: 'refused', askId, reason: 'over-quota', retryAfterMs: 250},
  });
  const choice = await pendingChoice;
  assert.is(choice.status === 'refused' && choice.error.kind, 'rate-limited');
  assert.is(choice.status === 'refused' && choice.error.retryAfterMs, 250);
});

// Guards against callers that wait in vain for the next scheduling node.
test('without a scheduling node only leaving servers refuse at once', async () => {
  const {chooser, local, state} = startChooser(100);
  Object.assign(state, {hasHolder: false, areAllLeaving: true});
  local.hasServer = false;
  const choice = await chooser.choose(makeAsk(true));
  assert.is(choice.status, 'refused');
});

// Guards against asks that wait for the next scheduling node when this one is back.
test('a scheduling node that is in touch again is asked again', async () => {
  const {chooser, local, sent, state} = startChooser(100);
  Object.assign(state, {hasHolder: false});
  local.hasServer = false;
  const pending = chooser.choose(makeAsk(true));
  await flushPendingCallbacks();
  state.hasHolder = true;
  chooser.handleHolderBack();
  chooser.handleHolderBack();
  assert.is(sent.length, 1);
  const [told] = sent;
  const asks = told?.type === 'under-way' ? told.asks : [];
  const askId = asks[0]?.askId ?? '';
  const refusal = {reason: 'no-room', retryAfterMs: 900} as const;
  chooser.receive({type: 'refused', askId, ...refusal});
  assert.is((await pending).status, 'refused');
});

// Guards against a new scheduling node that takes an engine for free.
test('a new scheduling node is told of requests that were sent without one', async () => {
  const {chooser, sent, state} = startChooser(100);
  state.hasHolder = false;
  const choice = expectChosen(await chooser.choose(makeAsk(true)));
  state.hasHolder = true;
  chooser.sendStateToHolder();
  chooser.recordResult(choice, 'answered', 5);
  const [told, ended] = sent;
  const runs = told?.type === 'under-way' ? told.runs : [];
  assert.is(runs[0]?.engineId, SERVER.id);
  assert.is(ended?.type === 'run-ended' && ended.askId, runs[0]?.ask.askId);
});

// Guards against a team that floods the engines while no node schedules.
test('without a scheduling node teams get places in turn', async () => {
  const {chooser, clock, state} = startChooser(1_000);
  Object.assign(state, {hasHolder: false, localLimit: 1});
  const chosen: string[] = [];
  const send = (team: string) =>
    chooser.choose(makeAsk(true, team)).then(choice => {
      if (choice.status !== 'chosen') return;
      chosen.push(team);
      clock.setTimer(100, () => chooser.recordResult(choice, 'answered', 5));
    });
  ['flood', 'flood', 'flood', 'small'].forEach(team => void send(team));
  for (let passedMs = 0; passedMs < 300; passedMs += 100) {
    await flushPendingCallbacks();
    clock.advance(100);
  }
  assert.equal(chosen, ['flood', 'small', 'flood']);
});

// Guards against requests that wait for a turn until their callers leave.
test('a request without a turn is refused when nobody takes over', async () => {
  const {chooser, clock, state} = startChooser(100);
  Object.assign(state, {hasHolder: false, localLimit: 0});
  const pending = chooser.choose(makeAsk(true));
  clock.advance(1_500);
  assert.is((await pending).status, 'refused');
});

const REPORT: AvailabilityReport = {
  ...{serverId: SERVER.id, startedAtMs: null, isLeaving: false, pauseMs: 900},
};

test('the scheduling node is told what a server says', () => {
  const {chooser, sent, state} = startChooser(100);
  chooser.reportAvailability(SERVER.id);
  assert.equal(sent, []);
  state.reports.push(REPORT);
  chooser.reportAvailability(SERVER.id);
  assert.equal(sent, [
    {
      ...{type: 'under-way', incarnation: 'n1'},
      ...{asks: [], runs: [], servers: [REPORT]},
    },
  ]);
});

// Guards against a new scheduling node that assigns unavailable servers.
test('a new scheduling node is told what servers have said', () => {
  const {chooser, sent, state} = startChooser(100);
  state.reports.push(REPORT);
  chooser.sendStateToHolder();
  const [message] = sent;
  assert.equal(message?.type === 'under-way' && message.servers, [REPORT]);
});

// Guards against a report that was lost and is never repeated.
test('the scheduling node is told again when a choice is given back', async () => {
  const {chooser, sent, state} = startChooser(100);
  const choice = expectChosen(await chooser.choose(makeAsk(false)));
  state.reports.push(REPORT);
  chooser.release(choice);
  const [message] = sent;
  assert.equal(message?.type === 'under-way' && message.servers, [REPORT]);
});

test.run();
