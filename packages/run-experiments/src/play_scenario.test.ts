import {readFileSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {playScenario} from './play_scenario.js';
import {makePolicy} from './policy_names.js';
import {type Scenario, readScenario} from './scenario.js';

const test = suite('scenario simulation');

function readShort(name: string): Scenario {
  const path = new URL(`../scenarios/${name}.toml`, import.meta.url);
  const scenario = readScenario(
    readFileSync(fileURLToPath(path), 'utf8'),
    name,
  );
  return {...scenario, traffic: {...scenario.traffic, durationMs: 12_000}};
}

test('the same seed gives the same outcome', () => {
  const scenario = readShort('crew');
  const run = () => playScenario(scenario, makePolicy('batch-worth'), 7);
  assert.equal(run(), run());
});

test('every policy gets the same requests', () => {
  const scenario = readShort('crew');
  const [first, second] = (['first-come', 'batch-worth'] as const).map(name =>
    playScenario(scenario, makePolicy(name), 3),
  );
  assert.is(first?.kinds.chat.asked, second?.kinds.chat.asked);
  assert.is(first?.kinds.draft.asked, second?.kinds.draft.asked);
});

/* Guards against dropped requests after two of eight engines fail. */
test('requests of failed engines are served by other engines', () => {
  const withoutLosses = playScenario(
    readShort('crew'),
    makePolicy('batch-worth'),
    5,
  );
  const withLosses = playScenario(
    readShort('crew_losing_engines'),
    makePolicy('batch-worth'),
    5,
  );
  assert.ok(withLosses.worthShare < withoutLosses.worthShare);
  assert.ok(withLosses.worthShare > 0.7, `${withLosses.worthShare}`);
});

test.run();
