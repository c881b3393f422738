/** Ends work when the caller goes away or the deadline passes. */
import {type Clock} from '@mimosatack/clock';
import {CallerGone} from '@mimosatack/admit-requests';
import {TypedError} from '@mimosatack/errors';
import {type FastifyReply} from 'fastify';

/** One request's reasons to stop. */
export interface RequestScope {
  /** Aborted with `CallerGone` or a `deadline-exceeded` error. */
  signal: AbortSignal;
  /** Aborted when the caller goes away, and by nothing else. */
  goneSignal: AbortSignal;
  /** The deadline was met; only the caller's going ends the work now. */
  meetDeadline(): void;
  close(): void;
}

/** Watches the caller's connection and the deadline of a request. */
export function openScope(
  clock: Clock,
  deadlineAtMs: number,
  reply: FastifyReply,
): RequestScope {
  const gone = new AbortController();
  const stop = new AbortController();
  const onClose = () => {
    if (reply.raw.writableFinished) return;
    gone.abort(new CallerGone());
    stop.abort(gone.signal.reason);
  };
  const timer = clock.setTimer(deadlineAtMs - clock.monotonicMs(), () =>
    stop.abort(
      new TypedError(
        'deadline-exceeded',
        'The deadline passed before the answer was there.',
        {run: 'unknown'},
      ),
    ),
  );
  reply.raw.once('close', onClose);
  return {
    signal: stop.signal,
    goneSignal: gone.signal,
    meetDeadline: () => timer.cancel(),
    close: () => {
      timer.cancel();
      reply.raw.off('close', onClose);
    },
  };
}
