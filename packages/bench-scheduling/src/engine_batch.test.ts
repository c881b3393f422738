import {type ScheduledRequest} from '@mimosatack/schedule-models';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type FinishedRun, EngineBatch} from './engine_batch.js';

const test = suite('batching on a virtual engine');

const SPEED = {
  ...{stepMs: 5, stepMsPerRequest: 0, promptTokensPerMs: 30},
  tokensPerEvent: 6,
};

function makeRequest(askId: string, promptTokens: number): ScheduledRequest {
  return {
    ...{askId, service: 's', model: 'm0', adapter: null, promptTokens},
    ...{outputTokens: 60, priority: 0, arrivedAtMs: 0, dueAtMs: 600},
    ...{
      gapMs: 300,
      endsAtMs: 8_000,
      excluded: new Set(),
      softwareVersion: null,
      team: null,
      allowed: null,
      nodeId: 'n1',
    },
  };
}

/** Starts each request at its time and runs until all of them finish. */
function simulate(
  starts: ReadonlyArray<[atMs: number, request: ScheduledRequest]>,
) {
  const batch = new EngineBatch(SPEED);
  const ended = new Map<string, FinishedRun & {endedAtMs: number}>();
  for (let nowMs = 0; nowMs < 5_000; nowMs += 5) {
    batch
      .advance(nowMs)
      .forEach(run => ended.set(run.request.askId, {...run, endedAtMs: nowMs}));
    starts
      .filter(([atMs]) => atMs === nowMs)
      .forEach(([, request]) => batch.begin(request, nowMs));
  }
  return ended;
}

test('a single request runs prefill, then decoding', () => {
  const run = simulate([[0, makeRequest('r1', 900)]]).get('r1');
  assert.is(run?.firstEventAtMs, 60);
  assert.ok(Math.abs((run?.endedAtMs ?? 0) - 330) <= 10);
  assert.is(run?.longestGapMs, 30);
});

/* Guards against a simulation in which prefill does not stall running streams. */
test('simultaneous prompts stall the running streams', () => {
  const laterRequests = Array.from(
    {length: 10},
    (_, at): [number, ScheduledRequest] => [100, makeRequest(`o${at}`, 900)],
  );
  const run = simulate([[0, makeRequest('r1', 900)], ...laterRequests]).get(
    'r1',
  );
  assert.ok((run?.longestGapMs ?? 0) >= 300);
});

test.run();
