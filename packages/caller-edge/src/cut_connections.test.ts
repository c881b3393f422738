/** Responses that are cut off, as the callers' connections show it. */
import {type Socket, connect} from 'node:net';
import {type AnswerSink} from '@mimosatack/serve-requests';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type CallerEdge} from './caller_edge.js';
import {startEdge} from './edge_fixture.js';
import {type HttpAnswerSink} from './http_answer_sink.js';

const test = suite('responses that are cut off');

const TIMEOUT_MS = 3_000;
const LAST_CHUNK = '0\r\n\r\n';

interface Served {
  edge: CallerEdge;
  sink: HttpAnswerSink;
  caller: Socket;
  fail: (error: Error) => void;
}

/** What ends a response of which the caller has a part. */
const ENDERS: ReadonlyArray<[string, (served: Served) => void]> = [
  ['a broken response', ({sink}) => sink.abort()],
  ['an exception', ({fail}) => fail(new Error('A fault.'))],
  ['memory pressure', ({sink}) => sink.cutOff()],
  ['the end of the grace time', ({edge}) => edge.closeAll()],
  ['a caller that sends no more', ({caller}) => caller.end()],
];

const VERSIONS = [
  'HTTP/1.0\r\n',
  'HTTP/1.0\r\nConnection: keep-alive\r\n',
  'HTTP/1.1\r\nHost: h\r\nConnection: close\r\n',
  'HTTP/1.1\r\nHost: h\r\n',
];

/** Resolves with what the caller received, and how its connection ended. */
async function receive(
  version: string,
  onPart: (served: Served) => void,
): Promise<{text: string; end: string}> {
  let sink: AnswerSink | null = null;
  let fail: Served['fail'] = () => undefined;
  const {edge, port} = await startEdge((_request, opened) => {
    sink = opened;
    opened.begin(200, []);
    opened.write(Buffer.from('the first part'));
    return new Promise((_resolve, reject) => (fail = reject));
  });
  const caller = connect({port, host: '127.0.0.1', allowHalfOpen: true});
  caller.write(`GET / ${version}\r\n`);
  let text = '';
  caller.on('data', chunk => {
    text += String(chunk);
    if (!text.includes('part') || !sink) return;
    onPart({edge, caller, fail, sink: sink as HttpAnswerSink});
    sink = null;
  });
  const end = await new Promise<string>(resolve => {
    caller.once('end', () => resolve('end'));
    caller.once('error', ({code}: NodeJS.ErrnoException) =>
      resolve(String(code)),
    );
    setTimeout(() => resolve('nothing'), TIMEOUT_MS).unref();
  });
  caller.destroy();
  edge.stopListening();
  edge.closeAll();
  return {text, end};
}

VERSIONS.forEach(version =>
  ENDERS.forEach(([name, cut]) =>
    // Guards against a part of a response that a caller takes for the whole of it.
    test(`${name} to ${JSON.stringify(version)}`, async () => {
      const {text, end} = await receive(version, cut);
      assert.match(text, 'the first part');
      if (text.includes('chunked')) assert.not(text.endsWith(LAST_CHUNK));
      else assert.is(end, 'ECONNRESET');
    }),
  ),
);

VERSIONS.forEach(version =>
  test(`a complete response to ${JSON.stringify(version)}`, async () => {
    const {text, end} = await receive(version, ({sink, caller}) => {
      sink.end();
      caller.end();
    });
    if (text.includes('chunked')) assert.ok(text.endsWith(LAST_CHUNK));
    assert.is(end, 'end');
  }),
);

test.run();
