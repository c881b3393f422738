import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {messageSchema} from './messages.js';

const test = suite('odd values in messages');

const HOLDER = {nodeName: 'a', incarnation: 'a.1', address: 'a:1', token: 5};
const PROMISE = {token: 5, beatMs: 1.5, forMs: 3_000};
const STATUS = {
  ...{nodeName: 'n1', incarnation: 'life', isServing: true, uptimeMs: 1},
  ...{configurationVersion: -1, serversEndOffset: 9, nodesEndOffset: 9},
  promise: PROMISE,
};
const WELCOME = {
  ...{type: 'welcome', incarnation: 'a.1', beatMs: 1.5, holder: HOLDER},
  ...{servingNodes: null, serversAgeMs: null, configurationVersion: 3},
  ...{serversEndOffset: 9, nodesEndOffset: 9},
};
const RECORDS = {
  ...{type: 'records', topic: 'servers', fromOffset: 0, endOffset: 9},
  records: [{key: 'i-1', value: new Uint8Array(3), offset: 8}],
};
const ASK_RECORDS = {type: 'ask-records', topic: 'nodes', fromOffset: 9};
const NODE = {
  ...{nodeName: 'n1', incarnation: 'life', failureDomain: 'a'},
  ...{peerAddress: 'n1:1', callerAddress: {ip: '127.0.0.1', port: 8}},
};

/** Numbers after which no offset, token or version of the store counts as later. */
const TOO_LARGE = [1e308, Number.MAX_SAFE_INTEGER, 2e15];
const ODD_OFFSETS = [...TOO_LARGE, -2, 1.5, NaN, Infinity];

function isValid(message: unknown): boolean {
  return messageSchema.safeParse(message).success;
}

function listTaken(
  fields: readonly string[],
  values: readonly unknown[],
  make: (change: object) => unknown,
): string[] {
  return fields.flatMap(field =>
    values
      .filter(value => isValid(make({[field]: value})))
      .map(value => `${field}: ${JSON.stringify(value)}`),
  );
}

// Guards against a host that stops to follow a list, or a lease that never ends, because
// of a number from another host.
test('a message with an odd number is rejected', () => {
  const makeHello = (change: object) => ({
    ...{type: 'hello', status: {...STATUS, ...change}},
  });
  const offsets = [
    'configurationVersion',
    'serversEndOffset',
    'nodesEndOffset',
  ];
  const taken = [
    ...listTaken(offsets, ODD_OFFSETS, makeHello),
    ...listTaken(offsets, ODD_OFFSETS, change => ({...WELCOME, ...change})),
    ...listTaken(['token', 'forMs'], [1e308, -1, 2e15], change =>
      makeHello({promise: {...PROMISE, ...change}}),
    ),
    ...listTaken(['fromOffset', 'endOffset'], ODD_OFFSETS, change => ({
      ...{...RECORDS, ...change},
    })),
    ...listTaken(['offset'], ODD_OFFSETS, change => ({
      ...{...RECORDS, records: [{...RECORDS.records[0], ...change}]},
    })),
    ...listTaken(['fromOffset'], ODD_OFFSETS, change => ({
      ...{...ASK_RECORDS, ...change},
    })),
    ...listTaken(['token'], ODD_OFFSETS, change => ({
      ...{...WELCOME, holder: {...HOLDER, ...change}},
    })),
    ...listTaken(['address'], ['', 'a:99999', 'a', 7], change => ({
      ...{...WELCOME, holder: {...HOLDER, ...change}},
    })),
  ];
  assert.equal(taken, []);
  [makeHello({}), WELCOME, RECORDS, ASK_RECORDS].forEach(message =>
    assert.ok(isValid(message)),
  );
});

// Guards against an introduction that is lost because of one odd record of a node.
test('an odd node is left out of an introduction', () => {
  const odd = [{...NODE, peerAddress: 'n2:99999'}, 7, null, {nodeName: 'n3'}];
  const message = {type: 'introduction', holder: HOLDER, nodes: [NODE, ...odd]};
  const parsed = messageSchema.safeParse(message).data;
  const nodes = parsed?.type === 'introduction' ? parsed.nodes : [];
  assert.equal(
    nodes.map(({nodeName}) => nodeName),
    ['n1'],
  );
});

test.run();
