/** Runs a caller edge on a loopback port. */
import {type IncomingMessage} from 'node:http';
import {type AddressInfo, createServer} from 'node:net';
import {once} from 'node:events';
import {SystemClock} from '@mimosatack/clock';
import {DrainGate, InFlight} from '@mimosatack/drain-node';
import {type AnswerSink, type CallerRequest} from '@mimosatack/serve-requests';
import {CallerEdge} from './caller_edge.js';
import {type EdgeDialect} from './edge_dialect.js';
import {MemoryWatch} from './memory_watch.js';

const DIALECT = {
  readRequest: ({headers, url}: IncomingMessage) => ({
    ...{requestId: url, headers: [], host: headers.host},
  }),
} as unknown as EdgeDialect;

async function findFreePort(): Promise<number> {
  const server = createServer().listen(0, '127.0.0.1');
  await once(server, 'listening');
  const {port} = server.address() as AddressInfo;
  server.close();
  return port;
}

/** Starts an edge on a free port; what `serve` rejects with goes nowhere. */
export async function startEdge(
  serve: (request: CallerRequest, sink: AnswerSink) => Promise<void>,
) {
  const clock = new SystemClock();
  const gate = new DrainGate(new InFlight(clock));
  const edge = new CallerEdge({
    ...{clock, dialect: DIALECT, serve},
    memory: new MemoryWatch({
      ...{clock, limitBytes: 1_048_576},
      observer: {
        onPressure: () => undefined,
        onCutOff: () => undefined,
        onRefused: () => undefined,
      },
      readSendQueues: () => Promise.resolve(null),
    }),
    gate,
    checkHead: () => null,
    onNoMemory: () => undefined,
    onFault: () => undefined,
  });
  const port = await findFreePort();
  await edge.listen({ip: '127.0.0.1', port});
  return {edge, gate, port};
}
