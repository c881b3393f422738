import {ODD_NAMES, ODD_RECORDS, listOddRecords} from '@mimosatack/fakes';
import {TypedError} from '@mimosatack/errors';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {decodeNode, encodeNode} from './registered_node.js';

const test = suite('records of nodes');

const NODE = {
  ...{nodeName: 'n1', incarnation: 'life', failureDomain: 'a', cores: 2},
  ...{peerAddress: '127.0.0.1:7', callerAddress: {ip: '127.0.0.1', port: 8}},
};
const ODD_PORTS = ['0', '65536', '99999', '-1', '1.5', '1e999', '"8"', 'null'];
const ODD_IPS = ['"999.1.1.1"', '"::1"', '""', '"localhost"', ...ODD_NAMES];
const ODD_PEERS = ['', ':7', 'h', 'h:', 'h:0', 'h:99999', 'h /:7', 'h@i:7'];

// Guards against callers and hosts that are sent to an address that is none.
test('an odd record of a node is left out', () => {
  const odd = [
    ...Object.entries(ODD_RECORDS),
    ...listOddRecords(NODE, [
      ['nodeName', [...ODD_NAMES, '""']],
      ['incarnation', [...ODD_NAMES, '""']],
      ['failureDomain', ODD_NAMES],
      ['peerAddress', ODD_PEERS.map(text => JSON.stringify(text))],
      ['peerAddress', ODD_NAMES],
      ['cores', ['1e999', '1e308', '-1', '"2"']],
      ['callerAddress', ODD_NAMES],
      [
        'callerAddress',
        ODD_PORTS.map(port => `{"ip":"10.0.0.1","port":${port}}`),
      ],
      ['callerAddress', ODD_IPS.map(ip => `{"ip":${ip},"port":8}`)],
      ['not_known', ODD_NAMES.slice(-1)],
    ]),
  ];
  const taken = odd.flatMap(([name, text]) => {
    try {
      return [`${name}: ${decodeNode(Buffer.from(text)).nodeName}`];
    } catch (thrown) {
      const isTyped = thrown instanceof TypedError;
      return isTyped ? [] : [`${name}: ${String(thrown)}`];
    }
  });
  assert.equal(taken, []);
  assert.equal(decodeNode(encodeNode(NODE)), NODE);
});

test.run();
