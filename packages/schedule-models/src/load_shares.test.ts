import {type TeamName} from '@mimosatack/types';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {BatchWorthPolicy} from './policies.js';
import {type Decision} from './scheduled_request.js';
import {ModelScheduler} from './scheduler.js';
import {makeEngine, makeRequest, makeService} from './scheduler_fixture.js';

const test = suite('loads by the shares of teams');

const TEAMS = new Map([
  ['large', 1],
  ['small', 1],
]);

/** The models that one engine is ordered to load, when `large` has used more. */
function listLoads(
  onDisk: readonly string[],
  asks: ReadonlyArray<{team: TeamName; model: string; count: number}>,
): string[] {
  const scheduler = new ModelScheduler({policy: new BatchWorthPolicy()});
  scheduler.configure([makeService()], TEAMS);
  const engine = makeEngine('e1', ['hot'], ['hot', ...onDisk]);
  scheduler.putEngine(engine, 0);
  scheduler.recordReport(
    'e1',
    {
      ...{startedAtMs: null, orderCount: 0, isBusy: false},
      residents: [{model: 'hot', adapters: []}],
    },
    0,
  );
  const ask = (team: TeamName, model: string, id: string) => {
    const endsAtMs = 20_000;
    const request = {...makeRequest(id, model, 0), team, endsAtMs};
    scheduler.enqueue({...request, dueAtMs: 10_000}, 0);
  };
  ask('small', 'hot', 'used.small');
  ask('large', 'hot', 'used.large.1');
  ask('large', 'hot', 'used.large.2');
  for (let nowMs = 0; nowMs < 300; nowMs += 20) scheduler.decide(nowMs);
  asks.forEach(({team, model, count}) =>
    Array.from({length: count}, (_, at) => ask(team, model, `${model}.${at}`)),
  );
  const decisions: Decision[] = scheduler.decide(600);
  return decisions.flatMap(decision =>
    decision.kind === 'order' ? [decision.order.model] : [],
  );
}

// Guards against a team that gets all loads since it repeats its asks.
test('repeated asks for one model do not go before the ask of another team', () => {
  const loads = listLoads(
    ['rare', 'warm'],
    [
      {team: 'large', model: 'rare', count: 20},
      {team: 'small', model: 'warm', count: 1},
    ],
  );
  assert.is(loads[0], 'warm');
});

// Guards against loads from the weight store that follow the number of asks alone.
test('the weight store is used for the team that has used least', () => {
  const loads = listLoads(
    [],
    [
      {team: 'large', model: 'rare', count: 20},
      {team: 'small', model: 'warm', count: 2},
    ],
  );
  assert.is(loads[0], 'warm');
});

test.run();
