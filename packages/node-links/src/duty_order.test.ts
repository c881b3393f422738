import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {chooseSuccessor, findDutyRank} from './duty_order.js';
import {type RosterEntry} from './node_roster.js';

const test = suite('order of duty claims');

const SMALL = ['a', 'b', 'e'].map(nodeName => ({nodeName, cores: 0.3}));
const LARGE = ['c', 'd'].map(nodeName => ({nodeName, cores: 1.35}));
const ALL = [...SMALL, ...LARGE];

function makeEntry(nodeName: string, uptimeMs: number): RosterEntry {
  return {
    ...{
      nodeName,
      uptimeMs,
      incarnation: `${nodeName}.1`,
      isServing: true,
      reachesServers: true,
    },
    ...{promise: null, address: `${nodeName}:1`, heardAtMs: 0},
  };
}

// Guards against a holder with too little CPU for a large deployment, which
// delays users' requests.
test('the nodes with most cores claim first, then the others by name', () => {
  const ranks = ALL.map(node => findDutyRank(node, ALL));
  assert.equal(ranks, [2, 3, 4, 0, 1]);
});

test('the successor is the last started serving node with most cores', () => {
  const serving = [
    makeEntry('a', 10),
    makeEntry('c', 900),
    makeEntry('d', 500),
  ];
  assert.is(chooseSuccessor(serving, ALL)?.nodeName, 'd');
  assert.is(chooseSuccessor([makeEntry('a', 10)], ALL)?.nodeName, 'a');
  assert.is(chooseSuccessor([], ALL), null);
});

test.run();
