import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {toPlaceRequest} from './ask_payload.js';

const test = suite('asks of places');

// Guards against a place that is given away while the stream that holds it still runs.
test('the run of a stream may outlast its silence timeout', () => {
  const request = toPlaceRequest(
    {
      ...{askId: 'n1.1', requestId: 'r1', service: 'lists', model: null},
      ...{adapter: null, promptTokens: 0, outputTokens: 0, priority: 1},
      ...{waitedMs: 0, dueInMs: 500, gapMs: 300, endsInMs: 2_000},
      ...{excluded: [], allowed: null, softwareVersion: null, team: null},
      ...{charge: null, runEndsInMs: 60_000},
    },
    'n1',
    0,
  );
  assert.is(request.waitDeadlineAtMs, 1_200);
  assert.ok(request.endsAtMs > 60_000);
});

test.run();
