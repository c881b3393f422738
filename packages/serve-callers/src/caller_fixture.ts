/** Starts entry nodes and engines in one process for tests. */
import {createHash} from 'node:crypto';
import {type ServerResponse} from 'node:http';
import {AgreedState} from '@mimosatack/agreed-state';
import {RequestTokenSigner} from '@mimosatack/answer-streams';
import {ClaimKeys} from '@mimosatack/claim-keys';
import {type Clock, SystemClock} from '@mimosatack/clock';
import {DrainGate, InFlight} from '@mimosatack/drain-node';
import {EngineBoard} from '@mimosatack/engine-board';
import {TypedError} from '@mimosatack/errors';
import {MemoryEventLogger} from '@mimosatack/logger';
import {SeededRandom} from '@mimosatack/random';
import {type RecordBody, encodeBatch} from '@mimosatack/records';
import {
  type EngineOptions,
  type EngineStandIn,
  type RunningBackend,
  expectedCompletionText,
  startEngineStandIn,
} from '@mimosatack/stand-ins';
import {TicketSigner, TicketTable} from '@mimosatack/unrepeatable';
import {type FastifyInstance} from 'fastify';
import {Agent, type Dispatcher, request} from 'undici';
import {
  AbandonedRequests,
  type CallerContext,
  type CallerLimits,
  UnrepeatableRunner,
  buildCallerServer,
  makeRequestRouting,
} from './index.js';

export type Engine = RunningBackend<EngineStandIn>;

/** An entry node, reduced to its server for callers. */
export interface Entry {
  baseUrl: string;
  server: FastifyInstance;
  logger: MemoryEventLogger;
  gate: DrainGate;
  /** Response bytes that callers have not read yet. */
  countUnreadBytes(): number;
  /** Closes all connections without finishing their responses. */
  kill(): Promise<void>;
}

export interface ReceivedStream {
  requestToken: string;
  lastEventId: number;
  text: string;
  isEnded: boolean;
  /** The kind of the error event, if any. */
  errorKind: string | null;
  /** Whether the connection was closed without the end of the body. */
  isCutOff: boolean;
}

export const TOKENS = {prairie: 'token-prairie', zorza: 'token-zorza'};
const SECRET = 'a-secret-of-the-cluster';
const SLOT_LIFE_MS = 3_600_000;

export const LIMITS: CallerLimits = {
  maxBodyBytes: 100_000,
  defaultDeadlineMs: 20_000,
  maxDeadlineMs: 60_000,
  entriesTtlMs: 1_000,
  maxAnswerBytes: 16 * 1024 * 1024,
  callerStallMs: 20_000,
  resumeWindowMs: 10_000,
};

export function makePrompt(maxTokens: number, extra: object = {}) {
  return {
    model: 'm',
    messages: [{role: 'user', content: 'eggs flour and milk'}],
    max_tokens: maxTokens,
    ...extra,
  };
}

export async function startWarmEngine(
  id: string,
  options: Partial<EngineOptions> = {},
): Promise<Engine> {
  const fast = {initMs: 0, firstTokenMs: 0, tokenMs: 1};
  const engine = await startEngineStandIn({
    ...fast,
    ...options,
    backendServerId: id,
  });
  engine.core.applyOrder({
    ...{order: 'load', orderId: 'o1', fencingNumber: 1, slotId: `slot-${id}`},
    ...{model: 'm', adapter: null, version: '1', memoryMib: 10},
  });
  await waitUntil(() => engine.core.readState().replicas[0]?.status === 'warm');
  return engine;
}

/** Runs only tickets; every claim fails, because the log is unavailable. */
export function makeTicketRunner(
  nodeName: string,
  clock: Clock,
): UnrepeatableRunner {
  const refuse = () =>
    Promise.reject(
      new TypedError('platform-unavailable', 'The log is unavailable.'),
    );
  const incarnation = `${nodeName}.0`;
  return new UnrepeatableRunner({
    ...{clock, nodeName, incarnation},
    mint: new TicketSigner(SECRET),
    tickets: new TicketTable({clock}),
    claims: new ClaimKeys({
      ...{clock, incarnation},
      random: new SeededRandom(1),
      log: {append: refuse, read: refuse},
      isAlive: () => true,
    }),
    owners: {
      findProcess: () => null,
      findPartitionOwner: () => null,
      askSuccessors: async () => ({status: 'no-table'}),
    },
  });
}

export async function startEntry(
  nodeName: string,
  engines: readonly Engine[],
  overrides: Partial<CallerContext> = {},
): Promise<Entry> {
  const clock: Clock = new SystemClock();
  const logger = new MemoryEventLogger();
  const gate = overrides.drainGate ?? new DrainGate(new InFlight(clock));
  gate.applyPhase('serving');
  const state = makeState(engines);
  const board = makeBoard(engines);
  const random = new SeededRandom(1);
  const server = buildCallerServer({
    ...{clock, logger, drainGate: gate, random, board},
    ...makeRequestRouting({
      ...{clock, random, logger, board, state: () => state},
      ...{failureDomain: 'hall-a', queueLimit: 100, retryBudgetPercent: 10},
      countNodes: () => 1,
      reportDemand: () => undefined,
    }),
    incarnation: `${nodeName}.0`,
    state: () => state,
    tokenSigner: new TicketSigner(SECRET),
    unrepeatable: makeTicketRunner(nodeName, clock),
    tokens: new RequestTokenSigner(SECRET),
    abandoned: new AbandonedRequests(clock, 0),
    notifyResumed: () => undefined,
    limits: LIMITS,
    listEntries: () => [],
    ...overrides,
  });
  const responses: ServerResponse[] = [];
  server.server.on('request', (_incoming, response: ServerResponse) =>
    responses.push(response),
  );
  const countUnreadBytes = () =>
    responses.reduce((sum, response) => sum + response.writableLength, 0);
  const baseUrl = await server.listen({host: '127.0.0.1', port: 0});
  const kill = async () => {
    server.server.closeAllConnections();
    await server.close();
  };
  return {baseUrl, server, logger, gate, countUnreadBytes, kill};
}

/** Requests a stream over a separate connection. */
export function askForStream(
  entry: Entry,
  body: object,
  headers: Record<string, string> = {},
): Promise<Dispatcher.ResponseData> {
  return request(`${entry.baseUrl}/v1/chat/completions`, {
    method: 'POST',
    headers: {
      'content-type': 'application/json',
      authorization: `Bearer ${TOKENS.prairie}`,
      ...headers,
    },
    body: JSON.stringify({...body, stream: true}),
    dispatcher: new Agent(),
  });
}

export function resume(
  entry: Entry,
  requestToken: string,
  lastEventId: number | null,
  token = TOKENS.prairie,
): Promise<Dispatcher.ResponseData> {
  return request(`${entry.baseUrl}/v1/requests/${requestToken}`, {
    headers: {
      authorization: `Bearer ${token}`,
      ...(lastEventId === null ? {} : {'last-event-id': String(lastEventId)}),
    },
    dispatcher: new Agent(),
  });
}

/** Reads until the stream ends, breaks or reaches event `stopAfterId`. */
export async function receive(
  response: Dispatcher.ResponseData,
  stopAfterId = Infinity,
  onEvents: (lastEventId: number) => void = () => undefined,
): Promise<ReceivedStream> {
  const received: ReceivedStream = {
    requestToken: String(response.headers['x-request-id']),
    ...{lastEventId: -1, text: '', isEnded: false},
    ...{errorKind: null, isCutOff: false},
  };
  let rest = '';
  try {
    for await (const bytes of response.body) {
      const parts = (rest + String(bytes)).split('\n\n');
      rest = parts.pop() ?? '';
      parts.forEach(part => applyEvent(received, part));
      onEvents(received.lastEventId);
      if (received.lastEventId >= stopAfterId) return received;
    }
  } catch {
    received.isCutOff = true;
  }
  return received;
}

export const expectedText = (body: object) =>
  expectedCompletionText(body as Parameters<typeof expectedCompletionText>[0]);

export async function waitUntil(check: () => boolean): Promise<void> {
  while (!check()) await new Promise(resolve => setTimeout(resolve, 1));
}

interface Chunk {
  error?: {kind: string};
  choices?: {delta: {content?: string}}[];
}

function applyEvent(received: ReceivedStream, part: string): void {
  const [, id] = /^id: (\d+)$/m.exec(part) ?? [];
  const [, data = ''] = /^data: (.*)$/m.exec(part) ?? [];
  if (id !== undefined) received.lastEventId = Number(id);
  if (data === '[DONE]') {
    received.isEnded = true;
    return;
  }
  const chunk = JSON.parse(data) as Chunk;
  received.errorKind = chunk.error?.kind ?? received.errorKind;
  received.text += chunk.choices?.[0]?.delta.content ?? '';
}

function makeBoard(engines: readonly Engine[]): EngineBoard {
  const board = new EngineBoard();
  engines.forEach(({core}) => {
    const engine = core.readState();
    board.applyReport({
      backendServerId: engine.backendServerId,
      reportedAtMs: 1,
      ...{engine, load: engine.load, isReachable: true},
    });
  });
  return board;
}

function makeState(engines: readonly Engine[]): AgreedState {
  const state = new AgreedState();
  const bodies = [
    ...Object.entries(TOKENS).map(([id, token]) => makeTeam(id, token)),
    makeModel(),
    ...engines.map(makeBackendServer),
    makePlan(engines),
  ];
  const records = bodies.map((body, index) => ({
    ...{recordId: `fixture-${index}`, author: 'fixture', basisSequence: 0},
    ...{writtenAtMs: 0, operator: null, reason: null, body},
  }));
  const refused = state
    .foldAppend(0, encodeBatch(records))
    .find(({outcome}) => outcome.status !== 'valid');
  if (refused) throw new Error(JSON.stringify(refused.outcome));
  return state;
}

function makeTeam(id: string, token: string): RecordBody {
  const tokenHash = createHash('sha256').update(token).digest('hex');
  const tokens = [{name: 'app', role: 'caller', tokenHash}];
  return makeDocument('team', id, {tokens});
}

function makeModel(): RecordBody {
  const onDemand = {maxReplicas: 8};
  const content = {pool: 'pool', version: '1', memoryMib: 10, onDemand};
  return makeDocument('model', 'm', content);
}

function makeDocument(
  kind: 'team' | 'model',
  id: string,
  content: Record<string, unknown>,
): RecordBody {
  return {type: 'put-document', kind, id, expectedVersion: 0, content};
}

function makeBackendServer({baseUrl, core}: Engine): RecordBody {
  const id = core.options.backendServerId;
  return {
    type: 'register-backend-server',
    ...{backendServerId: id, hostId: id, baseUrl, pool: 'pool'},
    ...{failureDomain: 'hall-a', region: 'sask-central'},
    ...{fencing: 'refuses-old', accelerators: 1, memoryMib: 100},
  };
}

function makePlan(engines: readonly Engine[]): RecordBody {
  return {
    type: 'decide-slots',
    purpose: {for: 'demand', model: 'm'},
    ...{targetRevision: 1, expectedPlan: 0},
    slots: engines.map(({core: {options}}) => ({
      slotId: `slot-${options.backendServerId}`,
      ...{model: 'm', version: '1', adapters: [], memoryMib: 10},
      backendServerId: options.backendServerId,
      ...{stage: null, loadAtMs: 0, storeMs: 0, replaces: null},
      untilMs: Date.now() + SLOT_LIFE_MS,
    })),
  };
}
