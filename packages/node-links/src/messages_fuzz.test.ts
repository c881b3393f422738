import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {messageSchema} from './messages.js';

const test = suite('messages of any form');

const RUNS = {numRuns: 400, seed: 5};
const STATUS = {
  ...{nodeName: 'n1', incarnation: 'life', isServing: true, uptimeMs: 1},
  ...{configurationVersion: 3, serversEndOffset: 9, promise: null},
};

/*
 * During a rolling restart nodes of two releases speak to each other. One that
 * does not tell what the other has added must still be heard.
 */
test('heartbeats of the release before are understood', () => {
  const hello = messageSchema.parse({type: 'hello', status: STATUS});
  assert.ok(hello.type === 'hello');
  if (hello.type !== 'hello') return;
  assert.is(hello.status.nodesEndOffset, 0);
  assert.is(hello.status.servingListId, null);
});

/*
 * A faulty node sends numbers that are none, or fields of another type. What is
 * taken of them would decide who schedules; the whole message must be refused.
 */
test('a heartbeat with a field of another type is refused', () => {
  const field = fc.constantFrom(...Object.keys(STATUS));
  const wrong = fc.oneof(
    fc.constantFrom(NaN, Infinity, undefined),
    fc.array(fc.integer()),
    fc.object({maxDepth: 1}),
  );
  fc.assert(
    fc.property(field, wrong, (name, value) => {
      const status = {...STATUS, [name]: value};
      const {success} = messageSchema.safeParse({type: 'hello', status});
      assert.not(success, name);
    }),
    RUNS,
  );
});

/* What is taken of it would decide which requests are kept from all servers. */
test('a report of ended servers in another form is refused', () => {
  const whole = {facts: [], sequence: 1, knownSequence: 0};
  const parse = (crashes: unknown) =>
    messageSchema.safeParse({type: 'hello', status: {...STATUS, crashes}});
  assert.ok(parse(whole).success);
  const fact = {kind: 'cut', fingerprint: 'f', serverLife: 'a', isTry: false};
  assert.ok(parse({...whole, facts: [{...fact, ageMs: 1}]}).success);
  const wrong = fc.oneof(
    fc.constantFrom({}, {...whole, sequence: NaN}, {...whole, facts: {}}),
    fc.constantFrom(-1, NaN, Infinity, '1').map(ageMs => ({
      ...{...whole, facts: [{...fact, ageMs}]},
    })),
    fc.object({maxDepth: 2}),
  );
  fc.assert(
    fc.property(wrong, crashes => assert.not(parse(crashes).success)),
    RUNS,
  );
});

test('anything else is refused and never thrown over', () => {
  fc.assert(
    fc.property(fc.anything({maxDepth: 3, withNullPrototype: true}), value => {
      assert.not(messageSchema.safeParse(value).success);
    }),
    RUNS,
  );
});

test.run();
