import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {RetryFleet} from './retry_fleet_fixture.js';

const test = suite('retries of all hosts together');

const BOUND = {ratio: 0.2, slack: 58, windowMs: 10_000};
const HOST_COUNTS = [3, 9, 60];
/** The usual load of a host, and a tenth of it. */
const REQUESTS_PER_HOST_AND_SECOND = [10, 1];

interface FleetLoad {
  hostCount: number;
  requestsPerHost: number;
}

/** Runs a scenario for each size of the fleet and each load. */
function checkAllSizes(
  play: (fleet: RetryFleet, load: FleetLoad) => void,
): void {
  const loads = HOST_COUNTS.flatMap(hostCount =>
    REQUESTS_PER_HOST_AND_SECOND.map(requestsPerHost => ({
      ...{hostCount, requestsPerHost},
    })),
  );
  loads.forEach(load => {
    const fleet = new RetryFleet(load.hostCount, BOUND);
    play(fleet, load);
    assert.is(fleet.findBreach(), undefined, JSON.stringify(load));
  });
}

// Guards against a restarted process that spends the host's part again.
test('hosts that all restart twice in a window stay within the bound', () => {
  checkAllSizes((fleet, {requestsPerHost}) => {
    for (let second = 0; second < 40; second += 1) {
      if (second === 22 || second === 25) fleet.restartAll({seesOthers: true});
      fleet.serveFailingForSecond(requestsPerHost);
    }
  });
});

// Guards against a host that takes the whole bound since it sees no other.
test('hosts that see no other when they start stay within the bound', () => {
  checkAllSizes((fleet, {requestsPerHost}) => {
    for (let second = 0; second < 40; second += 1) {
      if (second === 22) fleet.restartAll({seesOthers: false});
      fleet.serveFailingForSecond(requestsPerHost);
    }
  });
});

// Guards against a returning host that the others no longer count.
test('hosts that are cut off or suspended stay within the bound', () => {
  checkAllSizes((fleet, {hostCount, requestsPerHost}) => {
    const away = Array.from({length: Math.ceil(hostCount / 2)}, (_, i) => i);
    for (let second = 0; second < 60; second += 1) {
      if (second === 18) {
        away.forEach(index => {
          if (index % 2 === 0) fleet.setCut(index, true);
          else fleet.setSuspended(index, true);
        });
      }
      if (second === 45) {
        away.forEach(index => {
          fleet.setCut(index, false);
          fleet.setSuspended(index, false);
        });
      }
      fleet.serveFailingForSecond(requestsPerHost);
    }
  });
});

test.run();
