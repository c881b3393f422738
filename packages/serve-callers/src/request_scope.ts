/** Abort signals for the deadline, node shutdown and caller disconnect. */
import {CallerDisconnected} from '@mimosatack/admit-requests';
import {type FastifyReply} from 'fastify';
import {type CallerContext} from './caller_context.js';
import {mergeSignals, openStreamScope} from './stream_scope.js';

export interface RequestScope {
  /** Aborted with a typed error on the deadline or the node's shutdown. */
  signal: AbortSignal;
  /** Also aborted, with `CallerDisconnected`, when the caller disconnects. */
  callerSignal: AbortSignal;
  release(): void;
}

export function openRequestScope(
  {clock, drainGate}: CallerContext,
  deadlineMs: number,
  reply: FastifyReply,
): RequestScope {
  const scope = openStreamScope(clock, deadlineMs, [drainGate.abortSignal]);
  const attended = mergeSignals([scope.signal]);
  const onClose = () => {
    if (!reply.raw.writableFinished) attended.abort(new CallerDisconnected());
  };
  reply.raw.once('close', onClose);
  return {
    signal: scope.signal,
    callerSignal: attended.signal,
    release: () => {
      reply.raw.off('close', onClose);
      attended.release();
      scope.release();
    },
  };
}
