import {ManualClock} from '@mimosatack/clock';
import {type HostEntry} from '@mimosatack/types';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {HostListStandIn} from './host_list.js';

const test = suite('host list');

function makeEntry(hostId: string): HostEntry {
  const baseUrl = `http://127.0.0.1/${hostId}`;
  const location = {failureDomain: 'hall-a', region: 'sask-central'};
  return {
    hostId,
    role: 'runner',
    baseUrl,
    pool: 'p',
    state: 'live',
    ...location,
  };
}

test('shows changes after the lag and tells the truth to observers', () => {
  const clock = new ManualClock();
  const list = new HostListStandIn(clock, 1_000);
  list.put(makeEntry('h1'));
  assert.equal(list.listHosts(), []);
  clock.advance(1_000);
  list.setState('h1', 'leaving');
  assert.is(list.listHosts()[0]?.state, 'live');
  assert.is(list.observe().actual[0]?.state, 'leaving');
  clock.advance(1_000);
  assert.is(list.listHosts()[0]?.state, 'leaving');
});

test.run();
