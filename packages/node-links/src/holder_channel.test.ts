import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {HolderChannel} from './holder_channel.js';

const test = suite('messages to the duty holder');

// Guards against a holder of the previous release that closes the connection.
test('pressure is sent only to a holder that knows of places', () => {
  const sent: string[] = [];
  let knowsPlaces = false;
  const channel = new HolderChannel({
    self: {
      nodeName: 'n1',
      incarnation: 'i1',
      peerAddress: 'n1:1',
      cores: 1,
      failureDomain: 'a',
      callerAddress: {ip: '127.0.0.1', port: 1},
    },
    holder: () => ({
      ...{nodeName: 'n2', incarnation: 'i2', address: 'n2:1', token: 1},
    }),
    contacts: {find: () => 'alive'},
    transport: {
      send: (_, {type}) => sent.push(type) > 0,
      request: () => Promise.reject(new Error('No request is expected.')),
    },
    knowsPlaces: () => knowsPlaces,
    onToHolder: () => undefined,
    onFault: () => undefined,
  });
  const press = () =>
    channel.send({
      ...{type: 'pressure', service: 'lists', serverId: 's1'},
      ...{startedAtMs: null, cause: 'load', brittlePerSecond: null},
    });
  assert.is(press(), false);
  knowsPlaces = true;
  assert.is(press(), true);
  assert.equal(sent, ['to-holder']);
});

test.run();
