/** Routes that publish, delete and validate documents. */
import {type Operator, requireAction} from '@mimosatack/authenticate';
import {TypedError, toTypedError} from '@mimosatack/errors';
import {
  type BodyOf,
  DOCUMENT_KINDS,
  type DocumentKind,
} from '@mimosatack/records';
import {type FastifyInstance, type FastifyRequest} from 'fastify';
import {z} from 'zod';
import {
  authorize,
  makeNotFoundError,
  canRead,
  requiredActionFor,
} from './access.js';
import {type DocumentParams} from './document_routes.js';
import {dryRun} from './dry_run.js';
import {type FoldWaiter} from './fold_waiter.js';
import {waitUntilInForce} from './in_force.js';
import {type OperatorContext} from './operator_context.js';
import {
  contentSchema,
  parseId,
  parseInput,
  reasonSchema,
  versionSchema,
  waitMsSchema,
} from './request_input.js';
import {addCurrentVersion, submitChange} from './submit_change.js';

const putSchema = z.strictObject({
  /** The version that the change is based on; 0 to create a document. */
  expectedVersion: z.number().int().min(0),
  content: contentSchema,
  reason: reasonSchema,
});

const validateSchema = z.strictObject({
  expectedVersion: z.number().int().min(0).optional(),
  content: contentSchema,
  reason: reasonSchema,
});

const deleteSchema = z.strictObject({
  expectedVersion: versionSchema,
  reason: reasonSchema,
  waitMs: waitMsSchema,
});

const waitSchema = z.strictObject({waitMs: waitMsSchema});

const MAX_VERSION_WAIT_MS = 2_000;

type DocumentBody = BodyOf<'put-document'> | BodyOf<'delete-document'>;

/** Publishes and validates documents on behalf of operators. */
export class Publisher {
  constructor(
    private readonly context: OperatorContext,
    private readonly waiter: FoldWaiter,
  ) {}

  /** Writes a change and waits up to `waitMs` until it is in force everywhere. */
  async publish(
    body: DocumentBody,
    operator: Operator,
    reason: string | undefined,
    waitMs: number,
  ) {
    await this.checkAccess(body, operator);
    const accepted = await this.submit(body, operator, reason);
    return {
      kind: body.kind,
      id: body.id,
      version: body.expectedVersion + 1,
      ...accepted,
      ...(waitMs > 0
        ? {
            inForce: await waitUntilInForce(
              accepted.offset,
              waitMs,
              this.context,
            ),
          }
        : {}),
    };
  }

  /** Evaluates a change without writing it; hides events of other teams. */
  async validate(body: BodyOf<'put-document'>, operator: Operator) {
    await this.checkAccess(body, operator);
    const result = dryRun(this.context.state(), body);
    return {
      ...result,
      affectedEvents: result.affectedEvents.filter(
        event => operator.team === null || event.team === operator.team,
      ),
    };
  }

  currentVersion(kind: DocumentKind, id: string): number {
    return this.context.state().configuration.currentVersion(kind, id);
  }

  private async submit(
    body: DocumentBody,
    operator: Operator,
    reason: string | undefined,
  ) {
    const subject = `${body.kind} ${body.id}`;
    try {
      return await submitChange(
        {body, operator, reason, subject},
        this.context,
      );
    } catch (thrown) {
      const error = hideForeignTemplate(thrown, body, operator);
      throw addCurrentVersion(error, this.currentVersion(body.kind, body.id));
    }
  }

  private async checkAccess(
    body: DocumentBody,
    operator: Operator,
  ): Promise<void> {
    requireAction(operator.role, requiredActionFor(body.kind));
    if (operator.team === null) return;
    if (body.type === 'put-document') requireOwnTeam(operator, body);
    await this.waitForVersion(body);
    const document = this.context
      .state()
      .configuration.find(body.kind, body.id);
    if (document && !canRead(operator, document)) {
      throw makeNotFoundError(body.kind, body.id);
    }
  }

  /**
   * Guards against an ownership check on a document version older than the one
   * that the change names. The fold rejects the change if a newer one exists.
   */
  private async waitForVersion(body: DocumentBody): Promise<void> {
    const {kind, id, expectedVersion} = body;
    await this.waiter.waitUntil(
      () => this.currentVersion(kind, id) >= expectedVersion,
      Math.min(MAX_VERSION_WAIT_MS, this.context.submitTimeoutMs),
    );
    const current = this.currentVersion(kind, id);
    if (current >= expectedVersion) return;
    throw new TypedError(
      'conflict',
      `${kind} ${id} is at version ${current}, not ${expectedVersion}.`,
      {info: {reason: 'version-conflict', currentVersion: current}},
    );
  }
}

/** Adds the PUT, DELETE and validate routes for each document kind. */
export function addPublishRoutes(
  server: FastifyInstance,
  context: OperatorContext,
  publisher: Publisher,
): void {
  DOCUMENT_KINDS.forEach(kind =>
    addRoutesForKind(server, kind, context, publisher),
  );
}

function addRoutesForKind(
  server: FastifyInstance,
  kind: DocumentKind,
  context: OperatorContext,
  publisher: Publisher,
): void {
  const path = `/admin/v1/${kind}s/:id`;
  const authorizePublisher = (incoming: FastifyRequest) =>
    authorize(incoming, context, requiredActionFor(kind));
  server.put<{Params: DocumentParams}>(path, incoming => {
    const operator = authorizePublisher(incoming);
    const {reason, ...change} = parseInput(putSchema, incoming.body);
    const {waitMs} = parseInput(waitSchema, incoming.query);
    const id = parseId(incoming.params.id);
    const body = {type: 'put-document' as const, kind, id, ...change};
    return publisher.publish(body, operator, reason, waitMs);
  });
  server.delete<{Params: DocumentParams}>(path, incoming => {
    const operator = authorizePublisher(incoming);
    const {expectedVersion, reason, waitMs} = parseInput(
      deleteSchema,
      incoming.query,
    );
    const id = parseId(incoming.params.id);
    const body = {type: 'delete-document' as const, kind, id, expectedVersion};
    return publisher.publish(body, operator, reason, waitMs);
  });
  server.post<{Params: DocumentParams}>(`${path}/validate`, incoming => {
    const operator = authorizePublisher(incoming);
    const {content, expectedVersion} = parseInput(
      validateSchema,
      incoming.body,
    );
    const id = parseId(incoming.params.id);
    const body = {
      type: 'put-document' as const,
      kind,
      id,
      content,
      expectedVersion: expectedVersion ?? publisher.currentVersion(kind, id),
    };
    return publisher.validate(body, operator);
  });
}

function requireOwnTeam(
  operator: Operator,
  {kind, content}: BodyOf<'put-document'>,
): void {
  if (content['team'] === operator.team) return;
  throw new TypedError(
    'forbidden',
    `An operator of team ${operator.team} publishes no ${kind} of another team.`,
    {remedy: `Set team to ${operator.team}, or use an admin token.`},
  );
}

/** Guards against an error message that reveals another team's template. */
function hideForeignTemplate(
  thrown: unknown,
  body: DocumentBody,
  operator: Operator,
): TypedError {
  const error = toTypedError(thrown);
  const isHidden =
    operator.team !== null &&
    body.type === 'put-document' &&
    body.kind === 'event' &&
    error.details.info?.['reason'] === 'unknown-reference';
  if (!isHidden) return error;
  return new TypedError(
    'not-found',
    `There is no template ${String(body.content['template'])}; publish it first.`,
    error.details,
  );
}
