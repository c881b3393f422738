/** The route that searches the audit trail. */
import {AUDIT_KINDS} from '@mimosatack/audit-trail';
import {type FastifyInstance} from 'fastify';
import {z} from 'zod';
import {authorize, canReadEntry} from './access.js';
import {type OperatorContext} from './operator_context.js';
import {decodeCursor, encodeCursor} from './paging.js';
import {pageSchema, parseInput} from './request_input.js';

/** A time in milliseconds since the epoch or in ISO 8601. */
const timeSchema = z
  .string()
  .max(64)
  .transform(text => (/^\d+$/.test(text) ? Number(text) : Date.parse(text)))
  .refine(timeMs => Number.isFinite(timeMs), {
    error: 'give an ISO 8601 time, or milliseconds since the epoch',
  });

const querySchema = pageSchema
  .extend({
    kind: z.enum(AUDIT_KINDS).optional(),
    id: z.string().max(128).optional(),
    operator: z.string().max(128).optional(),
    from: timeSchema.optional(),
    to: timeSchema.optional(),
  })
  .strict();

const INCOMPLETE_NOTE =
  'The log service does not answer: only changes that this node has in ' +
  'memory were searched.';

export function addAuditRoutes(
  server: FastifyInstance,
  context: OperatorContext,
): void {
  server.get('/admin/v1/audit', async incoming => {
    const operator = authorize(incoming, context, 'read-audit');
    const {cursor, from, to, ...query} = parseInput(
      querySchema,
      incoming.query,
    );
    const page = await context.audit.find({
      ...query,
      fromMs: from,
      toMs: to,
      beforeSequence:
        cursor === undefined ? undefined : Number(decodeCursor(cursor)),
      isVisible: entry => canReadEntry(operator, entry),
    });
    return {
      items: page.items,
      nextCursor:
        page.nextBeforeSequence === null
          ? null
          : encodeCursor(String(page.nextBeforeSequence)),
      isComplete: page.isComplete,
      note: page.isComplete ? null : INCOMPLETE_NOTE,
    };
  });
}
