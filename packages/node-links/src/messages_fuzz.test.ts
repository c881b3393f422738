import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {messageSchema} from './messages.js';

const test = suite('validation of messages');

const RUNS = {numRuns: 400, seed: 5};
const STATUS = {
  ...{nodeName: 'n1', incarnation: 'life', isServing: true, uptimeMs: 1},
  ...{configurationVersion: 3, serversEndOffset: 9, promise: null},
};

// Guards against rejecting heartbeats of the previous release, which lack newer
// fields, during a rolling restart.
test('heartbeats of the release before are understood', () => {
  const hello = messageSchema.parse({type: 'hello', status: STATUS});
  assert.ok(hello.type === 'hello');
  if (hello.type !== 'hello') return;
  assert.is(hello.status.nodesEndOffset, 0);
  assert.is(hello.status.servingListId, null);
});

// Guards against invalid fields of a faulty node that would affect which node
// schedules.
test('a heartbeat with a field of another type is rejected', () => {
  const field = fc.constantFrom(...Object.keys(STATUS));
  const invalid = fc.oneof(
    fc.constantFrom(NaN, Infinity, undefined),
    fc.array(fc.integer()),
    fc.object({maxDepth: 1}),
  );
  fc.assert(
    fc.property(field, invalid, (name, value) => {
      const status = {...STATUS, [name]: value};
      const {success} = messageSchema.safeParse({type: 'hello', status});
      assert.not(success, name);
    }),
    RUNS,
  );
});

// Guards against an invalid report that would block requests on all servers.
test('a malformed report of crashed servers is rejected', () => {
  const valid = {facts: [], sequence: 1, knownSequence: 0};
  const parse = (crashes: unknown) =>
    messageSchema.safeParse({type: 'hello', status: {...STATUS, crashes}});
  assert.ok(parse(valid).success);
  const fact = {kind: 'cut', fingerprint: 'f', serverLife: 'a', isTry: false};
  assert.ok(parse({...valid, facts: [{...fact, ageMs: 1}]}).success);
  const invalid = fc.oneof(
    fc.constantFrom({}, {...valid, sequence: NaN}, {...valid, facts: {}}),
    fc.constantFrom(-1, NaN, Infinity, '1').map(ageMs => ({
      ...{...valid, facts: [{...fact, ageMs}]},
    })),
    fc.object({maxDepth: 2}),
  );
  fc.assert(
    fc.property(invalid, crashes => assert.not(parse(crashes).success)),
    RUNS,
  );
});

test('any other value is rejected without an exception', () => {
  fc.assert(
    fc.property(fc.anything({maxDepth: 3, withNullPrototype: true}), value => {
      assert.not(messageSchema.safeParse(value).success);
    }),
    RUNS,
  );
});

test.run();
