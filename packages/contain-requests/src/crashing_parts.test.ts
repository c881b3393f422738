/** Guards against containing prompt parts that only ran beside one that crashes servers. */
import {ManualClock} from '@mimosatack/clock';
import {MemoryEventLogger} from '@mimosatack/logger';
import {makePartSuspect} from '@mimosatack/types';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {RequestContainment} from './request_containment.js';

const test = suite('prompt parts beside crashing ones');

const COMMON_PART = '5a';
const CRASHING_PART = 'bad';
/** More than the wait before a part that all prompts share may be contained. */
const SETTLED_MS = 3_000;

function makeNode() {
  const clock = new ManualClock();
  const containment = new RequestContainment({
    ...{clock, logger: new MemoryEventLogger(), isProbingNode: () => false},
  });
  let requests = 0;
  /** Loses a server with requests that have these parts between their first and last one. */
  const crash = (server: string, ...prompts: readonly string[][]) =>
    prompts.forEach(parts => {
      requests += 1;
      const suspects = [COMMON_PART, ...parts].map(makePartSuspect);
      containment.recordConnectionLoss(
        {fingerprint: `request-${requests}`, parts: suspects},
        server,
      );
    });
  return {clock, containment, crash};
}

// Guards against refusing all requests from the start on, since none was served yet.
test('of parts that were lost with the same servers, the last in the prompt is contained', () => {
  const node = makeNode();
  ['e1', 'e2', 'e3'].forEach(server => {
    node.crash(server, ['0c', CRASHING_PART], ['0c'], ['0d']);
    node.clock.advance(150);
  });
  assert.equal(node.containment.contained, ['part:bad']);
  node.clock.advance(SETTLED_MS);
  assert.equal(node.containment.contained, ['part:bad']);
});

// Guards against containing what was beside a part of which the earlier crashes are forgotten.
test('a part that crashed ten servers explains the losses of the parts beside it', () => {
  const node = makeNode();
  const crashAll = (servers: readonly string[], ...prompts: string[][]) =>
    servers.forEach(server => {
      node.crash(server, ...prompts);
      node.clock.advance(150);
    });
  crashAll(['e1', 'e2', 'e3', 'e4', 'e5'], ['0c', CRASHING_PART], ['0d']);
  crashAll(['e6'], ['0d', CRASHING_PART]);
  crashAll(['e7', 'e8', 'e9', 'e10'], ['0c', CRASHING_PART]);
  node.clock.advance(SETTLED_MS);
  assert.equal(node.containment.contained, ['part:bad']);
});

// Guards against a release of a part by the crashes that come before all nodes know of it.
test('a contained part stays contained when many servers crash at once', () => {
  const {clock, containment, crash} = makeNode();
  ['e1', 'e2', 'e3'].forEach(server => {
    crash(server, [CRASHING_PART]);
    clock.advance(150);
  });
  assert.equal(containment.contained, ['part:bad']);
  Array.from({length: 12}, (_, at) => crash(`f${at}`, [CRASHING_PART]));
  assert.equal(containment.contained, ['part:bad']);
});

test.run();
