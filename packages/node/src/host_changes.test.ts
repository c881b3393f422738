import {Stewardship} from '@mimosatack/agreed-state';
import {type HostEntry} from '@mimosatack/types';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {findHostChanges, isLikelyTruncated} from './host_changes.js';

const changes = suite('host changes');

function makeHost(hostId: string, options: Partial<HostEntry> = {}): HostEntry {
  return {
    hostId,
    role: 'runner',
    baseUrl: 'http://10.0.0.1:8000',
    pool: 'runners',
    failureDomain: 'hall-a',
    region: 'central',
    state: 'live',
    ...options,
  };
}

function makeStewardship(hosts: readonly HostEntry[]): Stewardship {
  const stewardship = new Stewardship();
  hosts.forEach(({hostId, role: _role, state: _state, ...place}) =>
    stewardship.register({
      type: 'register-backend-server',
      backendServerId: hostId,
      hostId,
      ...place,
      fencing: 'ignores',
      accelerators: 8,
      memoryMib: 1000,
    }),
  );
  return stewardship;
}

changes('find hosts that are new, relocated, leaving and missing', () => {
  const known = ['a', 'b', 'c'].map(id => makeHost(id));
  const listed = [
    makeHost('a', {baseUrl: 'http://10.0.0.9:8000'}),
    makeHost('b', {state: 'leaving'}),
    makeHost('d'),
    makeHost('e', {role: 'entry'}),
  ];
  const found = findHostChanges(listed, makeStewardship(known));
  assert.equal(
    found.changed.map(host => host.hostId),
    ['a', 'd'],
  );
  assert.equal(found.stateChanged, [{backendServerId: 'b', isLeaving: true}]);
  assert.equal(found.missing, ['c']);
});

changes('find nothing when the list matches the agreed state', () => {
  const known = ['a', 'b'].map(id => makeHost(id));
  const found = findHostChanges(known, makeStewardship(known));
  assert.equal(found, {changed: [], stateChanged: [], missing: []});
});

// Guards against an empty host list of the platform, which would unload the
// models of a running event.
changes('treat a list that lacks most hosts as truncated', () => {
  const stewardship = makeStewardship(['a', 'b', 'c'].map(id => makeHost(id)));
  assert.ok(isLikelyTruncated(findHostChanges([], stewardship), stewardship));
  const oneGone = findHostChanges(
    ['a', 'b'].map(id => makeHost(id)),
    stewardship,
  );
  assert.not.ok(isLikelyTruncated(oneGone, stewardship));
});

changes.run();
