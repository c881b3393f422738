/** Test fixture: an operator server on in-memory services. */
import {createHash} from 'node:crypto';
import {type TokenRole} from '@mimosatack/agreed-state';
import {AuditTrail} from '@mimosatack/audit-trail';
import {SystemClock} from '@mimosatack/clock';
import {EngineBoard} from '@mimosatack/engine-board';
import {MemoryLogService} from '@mimosatack/fakes';
import {LogFollower} from '@mimosatack/follow-log';
import {MemoryEventLogger} from '@mimosatack/logger';
import {SeededRandom} from '@mimosatack/random';
import {type RecordBody} from '@mimosatack/records';
import {type FastifyInstance} from 'fastify';
import {type NodeView} from './operator_context.js';
import {buildOperatorServer} from './operator_server.js';

/** The bootstrap token, which has role admin. */
export const ADMIN = 'admin-token';
export const MAX_BODY_BYTES = 65_536;

export interface ApiResponse {
  status: number;
  headers: Record<string, unknown>;
  body: Record<string, unknown> & {
    error?: {
      kind: string;
      message: string;
      remedy: string;
      info?: Record<string, unknown>;
    };
    items?: Record<string, unknown>[];
  };
}

export type Method = 'GET' | 'PUT' | 'POST' | 'DELETE';

export function hashToken(token: string): string {
  return createHash('sha256').update(token).digest('hex');
}

/** Makes token records named after the token itself. */
export function makeTokens(...roles: [string, TokenRole][]) {
  return roles.map(([token, role]) => ({
    name: token,
    role,
    tokenHash: hashToken(token),
  }));
}

/** Sends requests to the server without a socket. */
function createClient(server: FastifyInstance) {
  const request = async (
    method: Method,
    url: string,
    body?: unknown,
    token = ADMIN,
    headers: Record<string, string> = {},
  ): Promise<ApiResponse> => {
    const response = await server.inject({
      method,
      url,
      headers: {authorization: `Bearer ${token}`, ...headers},
      ...(body === undefined ? {} : {payload: body as object}),
    });
    return {
      status: response.statusCode,
      headers: response.headers,
      body: response.json(),
    };
  };
  const put = (
    path: string,
    content: unknown,
    {expectedVersion = 0, token = ADMIN, reason = 'test'} = {},
  ) =>
    request(
      'PUT',
      `/admin/v1/${path}`,
      {expectedVersion, content, reason},
      token,
    );
  return {request, put};
}

/** Creates an operator server on an in-memory log service. */
export async function createFixture() {
  const clock = new SystemClock();
  const log = new MemoryLogService();
  const logger = new MemoryEventLogger();
  const nodes: NodeView[] = [];
  const nextOffsets = new Map<string, number>();
  const follower = new LogFollower({
    clock,
    random: new SeededRandom(1),
    logger,
    log,
    stream: 'decisions',
    incarnation: 'entry-1.a',
    longPollMs: 1_000,
    retryDelayMs: 5,
  });
  const audit = new AuditTrail(
    {
      clock,
      log,
      incarnation: 'entry-1.a',
      isResponsible: () => true,
      missingEntryGraceMs: 60_000,
      copyAfterMs: 3_600_000,
      retentionMs: 3_600_000,
    },
    () => undefined,
  );
  follower.onFold(folded => audit.recordChanges(folded));
  const server = buildOperatorServer({
    clock,
    logger,
    nodeName: 'entry-1',
    release: '0.1.0',
    follower,
    board: new EngineBoard(),
    audit,
    bootstrapTokenHash: hashToken(ADMIN),
    submitTimeoutMs: 300,
    maxBodyBytes: MAX_BODY_BYTES,
    state: () => follower.state,
    listNodes: () => nodes,
    fetchNextOffset: nodeName =>
      Promise.resolve(nextOffsets.get(nodeName) ?? null),
    makeRequestId: () => 'made-up-id',
    isStopping: () => false,
  });
  await follower.start({
    states: [],
    appends: {pullAppends: () => Promise.resolve([])},
  });
  const {request, put} = createClient(server);
  const submit = (body: RecordBody) => follower.submit(body, {timeoutMs: 300});
  const close = async () => {
    await server.close();
    await audit.stop();
    await follower.stop();
  };
  return {
    request,
    put,
    submit,
    log,
    logger,
    nodes,
    nextOffsets,
    follower,
    close,
  };
}

/** A template of team zorza. */
export const TEMPLATE = {
  team: 'zorza',
  parameters: {start: {type: 'time'}, replicas: {type: 'number', max: 4}},
  event: {
    startsAt: '${start}',
    durationMinutes: 30,
    needs: [{model: 'alert-writer', replicas: '${replicas}'}],
  },
};

/** Valid parameters of the template. */
export const PARAMETERS = {start: '2030-01-01T18:00:00Z', replicas: 2};

/** Adds two teams with tokens, a model and a template to the fixture. */
export async function createFixtureWithTeams() {
  const fixture = await createFixture();
  const {put} = fixture;
  await put('teams/zorza', {
    tokens: makeTokens(['z-app', 'caller'], ['z-ola', 'operator']),
  });
  await put('teams/prairie', {tokens: makeTokens(['p-sam', 'operator'])});
  await put('models/alert-writer', {
    pool: 'lm-pool',
    version: 'v1',
    memoryMib: 100,
  });
  await put('templates/sky', TEMPLATE);
  return fixture;
}
