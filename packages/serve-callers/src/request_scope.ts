/** Ends work when the caller goes away, the deadline passes or it is cut. */
import {CallerGone} from '@mimosatack/admit-requests';
import {type FastifyReply} from 'fastify';
import {type CallerContext} from './caller_context.js';
import {mergeSignals, openStreamScope} from './stream_scope.js';

/** One request's reasons to stop. */
export interface RequestScope {
  /** Aborted by the deadline or the node's stop, with a typed error. */
  signal: AbortSignal;
  /** Aborted by those and with `CallerGone`. */
  attendedSignal: AbortSignal;
  release(): void;
}

/** Watches the caller's connection, the deadline and the node's stop. */
export function openRequestScope(
  {clock, gate}: CallerContext,
  deadlineMs: number,
  reply: FastifyReply,
): RequestScope {
  const scope = openStreamScope(clock, deadlineMs, [gate.cutSignal]);
  const attended = mergeSignals([scope.signal]);
  const onClose = () => {
    if (!reply.raw.writableFinished) attended.abort(new CallerGone());
  };
  reply.raw.once('close', onClose);
  return {
    signal: scope.signal,
    attendedSignal: attended.signal,
    release: () => {
      reply.raw.off('close', onClose);
      attended.release();
      scope.release();
    },
  };
}
