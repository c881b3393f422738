import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type NodeSettings} from './node_settings.js';
import {reloadSettings} from './settings_reload.js';

const test = suite('settings reload');

const ADDRESS = {ip: '127.0.0.1', port: 1};

function makeSettings(change: Partial<NodeSettings> = {}): NodeSettings {
  return {
    ...{
      nodeName: 'entry-1',
      ip: '127.0.0.1',
      ...{cores: 1, memoryMb: 256},
      failureDomain: 'a',
      region: 'r',
    },
    ...{callerAddress: ADDRESS, readyAddress: ADDRESS, peerAddress: ADDRESS},
    ...{directoryAddress: ADDRESS, metricsAddress: null, seeds: []},
    ...{drainMs: 2_000, graceMs: 8_000, maxEntriesTtlMs: 5_000},
    retryBound: {ratio: 0.2, slack: 56, windowMs: 10_000},
    ...{revokeMs: 5_000, configurationApplyMs: 2_000},
    quotaBounds: {windowMs: 8_000, overage: 0.1, slack: 17_000},
    ...{isFirstStart: true, isFenced: true, leaseMs: 3_000, clusterSecret: ''},
    teamWeights: new Map(),
    crossDomainCostMs: 5,
    ...change,
  };
}

test('applies reloadable settings and lists those that need a restart', () => {
  const current = makeSettings();
  const retryBound = {ratio: 0.1, slack: 20, windowMs: 10_000};
  const outcome = reloadSettings(
    current,
    makeSettings({retryBound, leaseMs: 4_000}),
  );
  assert.equal(outcome, {changed: ['retryBound'], atNextStart: ['leaseMs']});
  assert.equal(current, makeSettings({retryBound}));
});

test('equal settings change nothing', () => {
  assert.equal(reloadSettings(makeSettings(), makeSettings()), {
    ...{changed: [], atNextStart: []},
  });
});

test.run();
