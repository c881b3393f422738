/** Connections that end at each byte of a response. */
import {once} from 'node:events';
import {type AddressInfo, type Socket, createServer} from 'node:net';
import {SystemClock} from '@mimosatack/clock';
import {type TypedError} from '@mimosatack/errors';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type BackendCall} from './backend_call.js';
import {BackendConnections} from './backend_connections.js';
import {collectAnswer} from './collect_answer.js';

const test = suite('responses that are cut');

const CUTS = [
  'end',
  /** The server sends no more, and goes on to read. */
  'half-close',
  'reset',
  /** The reset may overtake the bytes before it. */
  'reset-at-once',
] as const;
type Cut = (typeof CUTS)[number];

interface PlayedResponse {
  name: string;
  head: string;
  body: string;
  /** Whether only the end of the connection ends the body. */
  isUnframed?: boolean;
  /** Whether the HTTP client rejects the response even if it is complete. */
  isRejected?: boolean;
}

const STATUS_LINE = 'HTTP/1.1 200 OK\r\n';
const SEAL = 'Mimosatack-Server-Seal: seal\r\n';
const BODY = 'the body';
const LENGTH = `Content-Length: ${BODY.length}\r\n`;
const CLOSE = 'Connection: close\r\n';
const CHUNKED = 'Transfer-Encoding: chunked\r\n';
const CHUNKS = '3;part=1\r\nthe\r\n5\r\n body\r\n0\r\nChecksum: 1\r\n\r\n';
const FRAMED_HEAD = `${STATUS_LINE}${SEAL}${LENGTH}\r\n`;

const RESPONSES: readonly PlayedResponse[] = [
  {name: 'a length', head: FRAMED_HEAD, body: BODY},
  {
    name: 'a length and a close',
    head: `${STATUS_LINE}${SEAL}${CLOSE}${LENGTH}\r\n`,
    body: BODY,
  },
  {
    name: 'a length by HTTP/1.0',
    head: `HTTP/1.0 200 OK\r\n${SEAL}${LENGTH}\r\n`,
    body: BODY,
  },
  {
    name: 'an empty body and a close',
    head: `${STATUS_LINE}${SEAL}${CLOSE}Content-Length: 0\r\n\r\n`,
    body: '',
  },
  {name: 'chunks', head: `${STATUS_LINE}${SEAL}${CHUNKED}\r\n`, body: CHUNKS},
  {
    name: 'chunks and a close',
    head: `${STATUS_LINE}${SEAL}${CLOSE}${CHUNKED}\r\n`,
    body: CHUNKS,
  },
  {
    name: 'neither',
    head: `${STATUS_LINE}${SEAL}${CLOSE}\r\n`,
    body: BODY,
    isUnframed: true,
  },
  {
    name: 'neither, by HTTP/1.0',
    head: `HTTP/1.0 200 OK\r\n${SEAL}\r\n`,
    body: BODY,
    isUnframed: true,
  },
  ...[
    'HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n',
    'HTTP/1.1 102 Processing\r\n\r\n',
    'HTTP/1.1 103 Early Hints\r\nContent-Length: 5\r\n\r\n',
    'HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\n\r\n',
  ].map((informational, at) => ({
    name: `a length behind informational responses (${at})`,
    head: informational + FRAMED_HEAD,
    body: BODY,
  })),
  ...[
    'HTTP/1.1 100 Continue\r\n\r\n',
    `HTTP/1.1 103 Early Hints\r\n${CLOSE}\r\n`,
    'HTTP/1.0 103 Early Hints\r\n\r\n',
  ].map((informational, at) => ({
    name: `a length behind rejected informational responses (${at})`,
    head: informational + FRAMED_HEAD,
    body: BODY,
    isRejected: true,
  })),
  {
    name: 'a length in lines that end by a bare line feed',
    head: FRAMED_HEAD.replaceAll('\r\n', '\n'),
    body: BODY,
    isRejected: true,
  },
  {
    name: 'a length behind a folded line',
    head: `${STATUS_LINE}X-Folded: one\r\n two\r\n${LENGTH}\r\n`,
    body: BODY,
    isRejected: true,
  },
];

/** The server sends the first bytes of a response and ends the connection. */
interface Play {
  response: PlayedResponse;
  sentBytes: number;
  cut: Cut;
  /** Where a pause divides what is sent. */
  splitAt?: number;
  /** Whether the connection has carried a complete response. */
  isReused?: boolean;
}

interface Outcome {
  connectionCount: number;
  statuses: number[];
  body: string;
  ends: string[];
  /** What `collectAnswer` makes of the same response. */
  collected: string;
}

const CUT_DELAY_MS = 10;
const SPLIT_DELAY_MS = 4;
const TIMEOUT_MS = 5_000;
const LIMITS = {timeoutMs: TIMEOUT_MS};
/** A second end of the same exchange would come within this time. */
const SETTLE_MS = 10;
/** Plays at the same time. */
const BATCH_SIZE = 60;

type Paths = ReturnType<typeof makePaths>;

let nextPlay = 0;

async function writeAndCut(socket: Socket, play: Play): Promise<void> {
  const {response, sentBytes, cut, splitAt = 0} = play;
  const text = (response.head + response.body).slice(0, sentBytes);
  if (splitAt > 0) {
    socket.write(text.slice(0, splitAt));
    await pause(SPLIT_DELAY_MS);
  }
  socket.write(text.slice(splitAt));
  if (cut !== 'reset-at-once') await pause(CUT_DELAY_MS);
  if (cut === 'end') socket.destroySoon();
  else if (cut === 'half-close') socket.end();
  else socket.resetAndDestroy();
}

/** The paths of a play; other processes may connect to a port that was theirs before. */
function makePaths(): {whole: string; cut: string} {
  nextPlay += 1;
  const play = `${process.pid}-${nextPlay}`;
  return {whole: `/whole/${play}`, cut: `/cut/${play}`};
}

/** Gives a complete response to a call for `whole`, and the played one to a call for `cut`. */
function createPlayedServer(play: Play, {whole, cut}: Paths) {
  const sockets = new Set<Socket>();
  /** Connections that brought a call of the play. */
  const carriers = new Set<Socket>();
  const server = createServer({allowHalfOpen: true}, socket => {
    sockets.add(socket);
    socket.on('error', () => undefined);
    socket.on('data', request => {
      const [, path] = request.toString().split(' ');
      if (path !== whole && path !== cut) return;
      carriers.add(socket);
      if (path === whole) socket.write(FRAMED_HEAD + BODY);
      else void writeAndCut(socket, play);
    });
  });
  return {server, sockets, carriers};
}

async function playResponse(play: Play): Promise<Outcome> {
  const paths = makePaths();
  const {server, sockets, carriers} = createPlayedServer(play, paths);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  const clock = new SystemClock();
  const connections = new BackendConnections({clock, idleLimitMs: 4_000});
  if (play.isReused) {
    await collectAnswer(
      ...([connections, makeCall(port, paths.whole), LIMITS, clock] as const),
    );
    await pause(SETTLE_MS);
  }
  const outcome = {statuses: [] as number[], body: '', ends: [] as string[]};
  await new Promise<void>(resolve => {
    const end = (what: string) => {
      outcome.ends.push(what);
      resolve();
    };
    connections.send(makeCall(port, paths.cut), {
      onHead: ({status}) => outcome.statuses.push(status),
      onData: chunk => {
        outcome.body += Buffer.from(chunk).toString();
        return true;
      },
      onEnd: () => end('end'),
      onFailure: ({run}) => end(`failure, ${run}`),
    });
    setTimeout(resolve, TIMEOUT_MS).unref();
  });
  await pause(SETTLE_MS);
  const connectionCount = carriers.size;
  connections.stop();
  const collected = await collectPlayed(port, paths.cut);
  sockets.forEach(socket => socket.destroy());
  server.close();
  return {...outcome, connectionCount, collected};
}

async function collectPlayed(port: number, path: string): Promise<string> {
  const clock = new SystemClock();
  const connections = new BackendConnections({clock, idleLimitMs: 4_000});
  const call = makeCall(port, path);
  const collected = await collectAnswer(connections, call, LIMITS, clock).then(
    ({status, body}) => `${status} ${Buffer.from(body).toString()}`,
    (error: TypedError) => `failure, ${error.run}`,
  );
  connections.stop();
  return collected;
}

function makeCall(port: number, path: string): BackendCall {
  return {
    ...{address: {ip: '127.0.0.1', port}, method: 'POST', path},
    ...{headers: ['Host', 'h'], body: Buffer.from('body')},
    ...{maxIdleMs: Infinity, connectTimeoutMs: TIMEOUT_MS},
  };
}

function pause(delayMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, delayMs));
}

function checkOutcome(play: Play, outcome: Outcome): void {
  const {response, sentBytes, cut, splitAt = 0} = play;
  const {head, body, isUnframed = false, isRejected = false} = response;
  const place = `${cut} after ${sentBytes}, split at ${splitAt}: ${JSON.stringify(outcome)}`;
  assert.is(outcome.connectionCount, 1, place);
  assert.is(outcome.ends.length, 1, place);
  const isReset = cut === 'reset' || cut === 'reset-at-once';
  const isSent = sentBytes === head.length + body.length;
  const isWhole = isUnframed ? !isReset && sentBytes >= head.length : isSent;
  const hasHead = sentBytes >= head.length && !isRejected;
  if (!hasHead) assert.equal(outcome.statuses, [], place);
  // The reset may discard what the client has not read yet.
  if (!isWhole || isRejected || cut === 'reset-at-once') {
    const allowed = isWhole && !isRejected ? ['end'] : [];
    assert.ok(
      ['failure, unknown', ...allowed].includes(outcome.ends[0]!),
      place,
    );
    if (allowed.length === 0) {
      assert.is(outcome.collected, 'failure, unknown', place);
    }
    return;
  }
  assert.equal(outcome.statuses, [200], place);
  assert.equal(outcome.ends, ['end'], place);
  const sentBody = isUnframed ? body.slice(0, sentBytes - head.length) : BODY;
  const expectedBody = body === '' ? '' : sentBody;
  assert.is(outcome.body, expectedBody, place);
  assert.is(outcome.collected, `200 ${expectedBody}`, place);
}

async function checkPlays(plays: readonly Play[]): Promise<void> {
  for (let at = 0; at < plays.length; at += BATCH_SIZE) {
    const batch = plays.slice(at, at + BATCH_SIZE);
    const outcomes = await Promise.all(batch.map(playResponse));
    batch.forEach((play, index) => checkOutcome(play, outcomes[index]!));
  }
}

function listOffsets({head, body}: PlayedResponse): number[] {
  return Array.from({length: head.length + body.length + 1}, (_, at) => at);
}

RESPONSES.forEach(response =>
  CUTS.forEach(cut =>
    // Guards against an incomplete response that counts as complete, and against one that
    // counts as a request that has not run.
    test(`${cut} at each byte of a response with ${response.name}`, async () => {
      await checkPlays(
        listOffsets(response).map(sentBytes => ({response, sentBytes, cut})),
      );
    }),
  ),
);

RESPONSES.slice(0, 2).forEach(response =>
  CUTS.forEach(cut =>
    // Guards against what an earlier response has left, such as its length or status, and
    // that completes a later one.
    test(`${cut} at each byte behind a complete response, with ${response.name}`, async () => {
      await checkPlays(
        listOffsets(response).map(sentBytes => ({
          ...{response, sentBytes, cut, isReused: true},
        })),
      );
    }),
  ),
);

RESPONSES.filter(({isRejected}) => !isRejected).forEach(response =>
  // Guards against a response in several packets that is lost, or whose first part counts
  // as the whole of it.
  test(`a response with ${response.name} is split at each byte`, async () => {
    const offsets = listOffsets(response);
    const sentBytes = offsets.length - 1;
    const headOnly = response.head.length - 1;
    await checkPlays(
      offsets.flatMap(splitAt => [
        {response, sentBytes, cut: 'end' as const, splitAt},
        ...(splitAt < headOnly
          ? [{response, sentBytes: headOnly, cut: 'end' as const, splitAt}]
          : []),
      ]),
    );
  }),
);

test.run();
