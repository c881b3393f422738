/** Calls to plain services, some of which may run at most once. */
import {type ServiceContent} from '@mimosatack/agreed-state';
import {authenticateCaller} from '@mimosatack/authenticate';
import {sendOnce} from '@mimosatack/dispatch-requests';
import {TypedError} from '@mimosatack/errors';
import {type KeptAnswer} from '@mimosatack/unrepeatable';
import {type FastifyInstance} from 'fastify';
import {type CallerContext} from './caller_context.js';
import {type RequestTerms, readTerms} from './request_terms.js';

interface ServiceParams {
  service: string;
  call: string;
}

const CONNECT_TIMEOUT_MS = 1_000;

/** Adds the plain-service routes to the callers' server. */
export function addServiceRoutes(
  server: FastifyInstance,
  context: CallerContext,
): void {
  server.post<{Params: ServiceParams}>(
    '/v1/services/:service/:call',
    async (incoming, reply) => {
      authenticateCaller(incoming.headers.authorization, context.state());
      const terms = readTerms(incoming.headers, context.limits);
      const body = asBuffer(incoming.body);
      const answer = await callService(incoming.params, body, terms, context);
      return reply
        .code(answer.statusCode)
        .type(answer.contentType)
        .send(answer.body);
    },
  );
}

function callService(
  params: ServiceParams,
  body: Buffer,
  terms: RequestTerms,
  context: CallerContext,
): Promise<KeptAnswer> {
  const service = context
    .state()
    .configuration.find('service', params.service)?.content;
  const call = service?.calls[params.call];
  if (!service || !call) {
    throw new TypedError(
      'not-found',
      `There is no call ${params.service}/${params.call}.`,
      {run: 'not-run'},
    );
  }
  const send = () => sendToService(service, params, body, terms, context);
  if (!call.unrepeatable) return send();
  return context.keys.runOnce(checkKey(terms, context), body, send);
}

function checkKey(terms: RequestTerms, context: CallerContext): string {
  const key = terms.idempotencyKey;
  const reading = key === null ? null : context.mint.read(key);
  if (key === null || reading?.status !== 'ticket') {
    throw new TypedError(
      'bad-key',
      'This call runs at most once and needs an Idempotency-Key that begins ' +
        'with the keyPrefix from /v1/entries.',
      {run: 'not-run'},
    );
  }
  if (reading.ticket.incarnation !== context.incarnation) {
    throw new TypedError(
      'outcome-unknown',
      'The key belongs to another process.',
      {run: 'unknown'},
    );
  }
  return key;
}

async function sendToService(
  service: ServiceContent,
  params: ServiceParams,
  body: Buffer,
  terms: RequestTerms,
  context: CallerContext,
): Promise<KeptAnswer> {
  const {stewardship} = context.state();
  const candidates = stewardship
    .listBackendServers()
    .filter(server => server.pool === service.pool)
    .map(server => server.backendServerId);
  const id = context.router.choose({candidates, excluded: new Set()});
  const server = id === null ? undefined : stewardship.findBackendServer(id);
  if (id === null || !server) {
    throw new TypedError('overloaded', 'No backend server is there.', {
      run: 'not-run',
      retryAfterMs: 1000,
    });
  }
  context.router.noteSent(id);
  try {
    const sent = await sendOnce({
      baseUrl: server.baseUrl,
      path: `/calls/${params.call}`,
      method: 'POST',
      headers: {
        'content-type': 'application/json',
        ...(terms.idempotencyKey === null
          ? {}
          : {'idempotency-key': terms.idempotencyKey}),
      },
      body,
      connectTimeoutMs: CONNECT_TIMEOUT_MS,
      signal: AbortSignal.timeout(terms.deadlineMs),
    });
    const {response} = sent;
    const answer = {
      statusCode: response.statusCode,
      contentType: String(
        response.headers['content-type'] ?? 'application/json',
      ),
      body: Buffer.from(await response.body.arrayBuffer()),
    };
    await sent.close();
    return answer;
  } finally {
    context.router.noteDone(id);
  }
}

function asBuffer(body: unknown): Buffer {
  return Buffer.isBuffer(body) ? body : Buffer.from(JSON.stringify(body ?? {}));
}
