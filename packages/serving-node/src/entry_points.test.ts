import {ManualClock} from '@mimosatack/clock';
import {MemoryEventLogger} from '@mimosatack/logger';
import {LiveNodes, type RegisteredNode} from '@mimosatack/node-links';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type EntryQuery} from './entry_list.js';
import {EntryPoints} from './entry_points.js';
import {type NodeSettings} from './node_settings.js';

const test = suite('entry points');

const ANYWHERE: EntryQuery = {region: null, failureDomain: null};
const IN_EAST: EntryQuery = {region: 'r', failureDomain: 'east'};

function makeNode(index: number, cores: number): RegisteredNode {
  return {
    ...{nodeName: `n${index}`, incarnation: '1', peerAddress: `p${index}:1`},
    callerAddress: {ip: '127.0.0.1', port: index},
    failureDomain: index < 10 ? 'east' : 'west',
    cores,
  };
}

function makeEntryPoints(findCores: (index: number) => number) {
  const clock = new ManualClock();
  const all = Array.from({length: 20}, (_, index) =>
    makeNode(index, findCores(index)),
  );
  const state = {registered: all};
  const liveNodes = new LiveNodes(clock, () => state.registered);
  liveNodes.recordReport(all.map(({nodeName}) => nodeName));
  const entryPoints = new EntryPoints({
    ...{clock, logger: new MemoryEventLogger()},
    settings: {maxEntriesTtlMs: 5_000, region: 'r'} as NodeSettings,
    self: makeNode(0, findCores(0)),
    listNodes: () => state.registered,
    findLiveNodes: () => liveNodes,
    isServing: () => true,
  });
  const listPorts = (query: EntryQuery) =>
    entryPoints.list(query).addresses.map(({port}) => port);
  /** Only these nodes are left, and are all that serve. */
  const keepOnly = (isKept: (index: number) => boolean) => {
    state.registered = all.filter((_, index) => isKept(index));
    const names = state.registered.map(({nodeName}) => nodeName);
    entryPoints.updateServingNodes(names);
    liveNodes.recordReport(names);
  };
  return {clock, entryPoints, liveNodes, listPorts, keepOnly};
}

// Guards against other answers where hosts are alike.
test('nodes of like capacity are all listed, whatever the domain', () => {
  const {listPorts, entryPoints} = makeEntryPoints(() => 1);
  entryPoints.updateServingNodes(['n0', 'n3', 'n14']);
  assert.equal(listPorts(IN_EAST), [0, 3, 14]);
});

// Guards against callers who are sent to hosts that are off, as long as no report comes.
test('without a report only hosts are named that lived lately', () => {
  const {clock, entryPoints, liveNodes, listPorts} = makeEntryPoints(() => 1);
  assert.is(listPorts(ANYWHERE).length, 20);
  clock.advance(4_000);
  const report = ['n0', 'n3', 'n14'];
  entryPoints.updateServingNodes(report);
  liveNodes.recordReport(report);
  clock.advance(3_000);
  assert.equal(listPorts(ANYWHERE), [0, 3, 14]);
  clock.advance(3_000);
  assert.equal(listPorts(ANYWHERE), [0]);
});

// Guards against an answer that ignores where the caller is.
test('uneven nodes are listed by the domain of the caller', () => {
  const {listPorts} = makeEntryPoints(index => 0.3 + (index % 3) / 2);
  assert.ok(listPorts(IN_EAST).every(port => port < 10));
  const isInWest = (port: number) => port >= 10;
  assert.ok(listPorts(ANYWHERE).some(isInWest));
  assert.ok(listPorts({...IN_EAST, region: 'other'}).some(isInWest));
});

// Guards against a few nodes that get all callers of a domain once the lost ones are
// removed from the register.
test('a domain that has lost most of its nodes does not count as whole', () => {
  const {clock, listPorts, keepOnly} = makeEntryPoints(index =>
    index % 3 === 0 ? 0.5 : 1.2,
  );
  listPorts(IN_EAST);
  keepOnly(index => index < 3 || index >= 10);
  clock.advance(7_000);
  keepOnly(index => index < 3 || index >= 10);
  assert.ok(listPorts(IN_EAST).some(port => port >= 10));
  keepOnly(index => index < 3 || index >= 10);
  clock.advance(700_000);
  assert.ok(listPorts(IN_EAST).every(port => port < 3));
});

test.run();
