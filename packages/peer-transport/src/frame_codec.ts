/** What goes over a connection, and its form in bytes. */
import {ERROR_KINDS, TypedError, toTypedError} from '@mimosatack/errors';
import {Packr} from 'msgpackr';
import * as z from 'zod';

/** Why a request failed at the node that handled it. */
const failureSchema = z.object({
  kind: z.enum(ERROR_KINDS).catch('internal'),
  message: z.string(),
  remedy: z.string(),
  run: z.enum(['not-run', 'unknown', 'ran']).optional(),
  retryAfterMs: z.number().nonnegative().optional(),
});

/** The form in bytes: fields that do not apply are left out. */
const wireSchema = z.strictObject({
  id: z.int().nonnegative().optional(),
  replyTo: z.int().nonnegative().optional(),
  body: z.unknown().optional(),
  failure: failureSchema.optional(),
});

/** Why a request failed, in the form that travels. */
export type Failure = z.infer<typeof failureSchema>;

/** One message with its role. */
export type Frame<M> =
  | {kind: 'message'; body: M}
  | {kind: 'request'; id: number; body: M}
  | {kind: 'reply'; replyTo: number; body: M}
  | {kind: 'failure'; replyTo: number; failure: Failure};

/** Turns frames into bytes and back; every frame stands for itself. */
export class FrameCodec<M> {
  private readonly packr = new Packr();

  constructor(
    private readonly schema: z.ZodType<M>,
    private readonly maxMessageBytes: number,
  ) {}

  /** Throws `peer-message-invalid` if the frame would be too large. */
  encode(frame: Frame<M>): Uint8Array {
    const {kind: _, ...wire} = frame;
    const bytes = this.packr.pack(wire);
    if (bytes.length <= this.maxMessageBytes) return bytes;
    throw new TypedError(
      'peer-message-invalid',
      `A message of ${bytes.length} bytes is over the limit of ${this.maxMessageBytes}.`,
      {remedy: 'Send it in pages, or raise the limit on all nodes.'},
    );
  }

  /** Throws `peer-message-invalid` if the bytes are no known frame. */
  decode(bytes: Uint8Array): Frame<M> {
    try {
      return this.toFrame(wireSchema.parse(this.packr.unpack(bytes)));
    } catch (thrown) {
      throw new TypedError(
        'peer-message-invalid',
        'A message from a peer has no known form.',
        {cause: toTypedError(thrown)},
      );
    }
  }

  private toFrame({
    id,
    replyTo,
    body,
    failure,
  }: z.infer<typeof wireSchema>): Frame<M> {
    if (replyTo !== undefined && failure) {
      return {kind: 'failure', replyTo, failure};
    }
    const parsed = this.schema.parse(body);
    if (replyTo !== undefined) return {kind: 'reply', replyTo, body: parsed};
    if (id !== undefined) return {kind: 'request', id, body: parsed};
    return {kind: 'message', body: parsed};
  }
}

/** Puts an error into the form that travels. */
export function toFailure(error: TypedError): Failure {
  const {kind, message, remedy, run, retryAfterMs} = error;
  return {
    kind,
    message,
    remedy,
    ...(run === undefined ? {} : {run}),
    ...(retryAfterMs === undefined ? {} : {retryAfterMs}),
  };
}

/** Makes the error of the other node into one of this node. */
export function fromFailure(failure: Failure): TypedError {
  const {kind, message, remedy, run, retryAfterMs} = failure;
  return new TypedError(kind, message, {remedy, run, retryAfterMs});
}
