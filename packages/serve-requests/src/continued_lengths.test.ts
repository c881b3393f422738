import {once} from 'node:events';
import {type ServerResponse, createServer, get} from 'node:http';
import {type AddressInfo} from 'node:net';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {AnswerRelay} from './answer_relay.js';
import {type AnswerFacts} from './backend_dialect.js';
import {type AnswerSink} from './caller_request.js';

const test = suite('lengths of streams that go on elsewhere');

const FIRST = 'id: 1\ndata: a\n\n';
/** The first server would have sent one character. */
const REST = 'id: 2\ndata: in other words\n\n';

function makeSink(response: ServerResponse): AnswerSink {
  return {
    get hasBegun() {
      return response.headersSent;
    },
    begin: (status: number, headers: readonly string[]) =>
      response.writeHead(status, [...headers]),
    write: (chunk: Uint8Array) => response.write(chunk),
    end: () => response.end(),
    setHeldBack: () => true,
  } as unknown as AnswerSink;
}

function relayTwoRuns(response: ServerResponse): void {
  const relay = new AnswerRelay({
    ...{sink: makeSink(response), isStream: true, isResumable: true},
    ...{lastEventId: null, spendRetry: () => true},
    ...{resume: () => undefined, onBegin: () => undefined},
    onProgress: () => undefined,
  });
  const headers = ['Content-Length', String(2 * FIRST.length)];
  [FIRST, REST].forEach(events => {
    relay.onHead({status: 200, headers} as unknown as AnswerFacts);
    relay.onData(Buffer.from(events));
  });
  assert.is(relay.onEnd(), null);
}

// Guards against a stream that ends in the middle of an event, as the length that its first
// server named holds no longer.
test('a stream that goes on elsewhere is as long as its events', async () => {
  const server = createServer((_, response) => relayTwoRuns(response));
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const text = await new Promise<string>((resolve, reject) => {
    let received = '';
    get({port, host: '127.0.0.1', agent: false}, response => {
      response.on('data', chunk => (received += String(chunk)));
      response.on('end', () => resolve(received));
    }).on('error', reject);
  });
  server.closeAllConnections();
  server.close();
  assert.is(text, FIRST + REST);
});

test.run();
