import {FixedLeadPolicy, TimetablePolicy} from '@mimosatack/plan-warming';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
  DEPLOYMENTS,
  DEPLOYMENT_NAMES,
  type DeploymentName,
  SCENARIO_NAMES,
  type ScenarioName,
  listEvents,
} from './deployment.js';
import {FAULT_NAMES, type Fault, listFaults} from './fault.js';
import {measureRun} from './measure_run.js';

const test = suite('warming of a deployment');

/** Minimum ratio of the time held by `SAFE_LEAD_MS` to that of the timetable. */
const MIN_HELD_RATIO = 5;
const SAFE_LEAD_MS = 75_000;

function run(
  name: DeploymentName,
  scenario: ScenarioName,
  fault: Fault,
  policy = new TimetablePolicy(DEPLOYMENTS[name].weights),
) {
  const deployment = DEPLOYMENTS[name];
  const events = listEvents(deployment, scenario);
  const fencing = 'refuses-old' as const;
  return measureRun({deployment, events, policy, fault, seed: 3, fencing});
}

function findLongest(waits: readonly number[]): number {
  return Math.max(...waits);
}

DEPLOYMENT_NAMES.forEach(name =>
  SCENARIO_NAMES.forEach(scenario =>
    test(`starts warm: ${name}, ${scenario}`, () => {
      const result = run(name, scenario, {faultName: 'none'});
      assert.is(findLongest(result.coldStartMs), 0);
    }),
  ),
);

test('holds less accelerator time than a fixed lead with the same tail', () => {
  const fault: Fault = {faultName: 'none'};
  const timetable = run('prairie', 'big', fault);
  const deployment = DEPLOYMENTS.prairie;
  const fixed = measureRun({
    deployment,
    events: listEvents(deployment, 'big'),
    policy: new FixedLeadPolicy(SAFE_LEAD_MS),
    fault,
    seed: 3,
    fencing: 'refuses-old',
  });
  assert.ok(fixed.heldBeforeMs > MIN_HELD_RATIO * timetable.heldBeforeMs);
});

FAULT_NAMES.forEach(faultName =>
  test(`neither overcommits memory nor cuts off requests: ${faultName}`, () => {
    // The engine accepts every order, so the orders alone must prevent
    // overcommitted memory and unloading of running requests.
    const [fault = {faultName}] = listFaults(faultName);
    const result = run('zorza', 'big', fault);
    assert.is(result.overcommits, 0);
    assert.is(result.cutOffRequests, 0);
  }),
);

test('starts warm after the weight store slows down tenfold', () => {
  // Guards against loads that start only after the store has slowed down.
  const [fault] = listFaults('store slow from 2 min before');
  if (!fault) throw new Error('Fault is not listed.');
  assert.is(findLongest(run('zorza', 'big', fault).coldStartMs), 0);
});

test.run();
