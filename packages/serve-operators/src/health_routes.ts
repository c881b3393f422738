/** Liveness and readiness probes. */
import {TypedError} from '@mimosatack/errors';
import {type FastifyInstance} from 'fastify';
import {type OperatorContext} from './operator_context.js';

const RETRY_AFTER_MS = 1_000;

/** Adds `/healthz` and `/readyz`; neither requires a token. */
export function addHealthRoutes(
  server: FastifyInstance,
  context: OperatorContext,
): void {
  server.get('/healthz', () => ({status: 'ok'}));
  server.get('/readyz', () => {
    const error = findUnreadyReason(context);
    if (error) throw error;
    return {status: 'ready'};
  });
}

/**
 * A node that is caught up with a peer counts as ready, so that an outage of
 * the log service does not make all nodes unready.
 */
function findUnreadyReason(context: OperatorContext): TypedError | null {
  const retry = {retryAfterMs: RETRY_AFTER_MS};
  if (context.isStopping()) {
    return new TypedError('shutting-down', 'The node shuts down.', retry);
  }
  if (!context.state().isSupported) {
    return new TypedError(
      'log-unavailable',
      'The rules in force are newer than this release.',
      {...retry, remedy: 'Upgrade this node.'},
    );
  }
  const {hasState, isLogReachable} = context.follower.status;
  if (hasState && (isLogReachable || isCaughtUpWithPeer(context))) return null;
  return new TypedError(
    'log-unavailable',
    'The node follows neither the log service nor another node yet.',
    retry,
  );
}

/** Whether this node has folded at least as much as some live peer. */
function isCaughtUpWithPeer(context: OperatorContext): boolean {
  const {nextOffset} = context.state();
  return context
    .listNodes()
    .some(
      node =>
        node.nodeName !== context.nodeName &&
        node.status === 'alive' &&
        node.nextOffset !== null &&
        node.nextOffset <= nextOffset,
    );
}
