/** Documents: publish, delete and try out. */
import {type Operator, requireAction} from '@mimosatack/authenticate';
import {TypedError, toTypedError} from '@mimosatack/errors';
import {
  type BodyOf,
  DOCUMENT_KINDS,
  type DocumentKind,
} from '@mimosatack/records';
import {type FastifyInstance, type FastifyRequest} from 'fastify';
import {z} from 'zod';
import {authorize, makeNotFound, maySee, publishActionOf} from './access.js';
import {type DocumentParams} from './document_routes.js';
import {dryRun} from './dry_run.js';
import {type FoldWaiter} from './fold_waiter.js';
import {waitInForce} from './in_force.js';
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
  /** 0 to create; the version that the change was made against. */
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

/** How long to wait for a version that this node has not folded yet. */
const CATCH_UP_MS = 2_000;

type DocumentBody = BodyOf<'put-document'> | BodyOf<'delete-document'>;

/** Publishes and tries out documents on behalf of operators. */
export class Publisher {
  constructor(
    private readonly context: OperatorContext,
    private readonly waiter: FoldWaiter,
  ) {}

  /** Writes a change and, if asked, waits until it is in force everywhere. */
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
        ? {inForce: await waitInForce(accepted.offset, waitMs, this.context)}
        : {}),
    };
  }

  /** Says what a change would do; hides events of other teams. */
  async tryOut(body: BodyOf<'put-document'>, operator: Operator) {
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
      const error = hideOtherTeams(thrown, body, operator);
      throw addCurrentVersion(error, this.currentVersion(body.kind, body.id));
    }
  }

  private async checkAccess(
    body: DocumentBody,
    operator: Operator,
  ): Promise<void> {
    requireAction(operator.role, publishActionOf(body.kind));
    if (operator.team === null) return;
    if (body.type === 'put-document') checkOwnContent(operator, body);
    await this.catchUp(body);
    const document = this.context
      .state()
      .configuration.find(body.kind, body.id);
    if (document && !maySee(operator, document)) {
      throw makeNotFound(body.kind, body.id);
    }
  }

  /**
   * Guards against a change that is checked against one owner and applied to
   * another: on a node that is behind, the version an operator names may
   * already be another team's. The owner is looked at only in the very version
   * that the change names; the fold then refuses it if a newer one is there.
   */
  private async catchUp(body: DocumentBody): Promise<void> {
    const {kind, id, expectedVersion} = body;
    await this.waiter.waitUntil(
      () => this.currentVersion(kind, id) >= expectedVersion,
      Math.min(CATCH_UP_MS, this.context.submitTimeoutMs),
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

/** Adds the changing routes of `/admin/v1/{kind}s` for each kind. */
export function addPublishRoutes(
  server: FastifyInstance,
  context: OperatorContext,
  publisher: Publisher,
): void {
  DOCUMENT_KINDS.forEach(kind => addKind(server, kind, context, publisher));
}

function addKind(
  server: FastifyInstance,
  kind: DocumentKind,
  context: OperatorContext,
  publisher: Publisher,
): void {
  const path = `/admin/v1/${kind}s/:id`;
  const identify = (incoming: FastifyRequest) =>
    authorize(incoming, context, publishActionOf(kind));
  server.put<{Params: DocumentParams}>(path, incoming => {
    const operator = identify(incoming);
    const {reason, ...change} = parseInput(putSchema, incoming.body);
    const {waitMs} = parseInput(waitSchema, incoming.query);
    const id = parseId(incoming.params.id);
    const body = {type: 'put-document' as const, kind, id, ...change};
    return publisher.publish(body, operator, reason, waitMs);
  });
  server.delete<{Params: DocumentParams}>(path, incoming => {
    const operator = identify(incoming);
    const {expectedVersion, reason, waitMs} = parseInput(
      deleteSchema,
      incoming.query,
    );
    const id = parseId(incoming.params.id);
    const body = {type: 'delete-document' as const, kind, id, expectedVersion};
    return publisher.publish(body, operator, reason, waitMs);
  });
  server.post<{Params: DocumentParams}>(`${path}/validate`, incoming => {
    const operator = identify(incoming);
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
    return publisher.tryOut(body, operator);
  });
}

function checkOwnContent(
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

/** The rules say whose template it is; an operator must not learn that. */
function hideOtherTeams(
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
