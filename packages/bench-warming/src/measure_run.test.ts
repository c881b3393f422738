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

/** A fixed lead that stands every fault holds this many times more. */
const IDLE_GOAL = 5;
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

function longest(waits: readonly number[]): number {
  return Math.max(...waits);
}

DEPLOYMENT_NAMES.forEach(name =>
  SCENARIO_NAMES.forEach(scenario =>
    test(`starts warm: ${name}, ${scenario}`, () => {
      const result = run(name, scenario, {faultName: 'none'});
      assert.is(longest(result.coldStartMs), 0);
    }),
  ),
);

test('holds far less before the start than a lead with the same tail', () => {
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
  assert.ok(fixed.heldBeforeMs > IDLE_GOAL * timetable.heldBeforeMs);
});

FAULT_NAMES.forEach(faultName =>
  test(`overcommits nothing and cuts nothing off: ${faultName}`, () => {
    // Whatever fails, an engine that takes every order must never be told to
    // hold more than it has, nor to unload what still runs.
    const [fault = {faultName}] = listFaults(faultName);
    const result = run('zorza', 'big', fault);
    assert.is(result.overcommits, 0);
    assert.is(result.cutOffRequests, 0);
  }),
);

test('starts warm though the store turned ten times slower', () => {
  // The weight store slows down two minutes before the start. Whoever loads
  // then makes the first callers wait for a minute.
  const [fault] = listFaults('store slow from 2 min before');
  if (!fault) throw new Error('There is no such fault.');
  assert.is(longest(run('zorza', 'big', fault).coldStartMs), 0);
});

test.run();
