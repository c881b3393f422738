/** Frames between nodes and their wire format. */
import {ERROR_KINDS, TypedError, toTypedError} from '@mimosatack/errors';
import {Packr} from 'msgpackr';
import * as z from 'zod';

/** Error of the node that handled a request. */
const failureSchema = z.object({
  kind: z.enum(ERROR_KINDS).catch('internal'),
  message: z.string(),
  remedy: z.string(),
  run: z.enum(['not-run', 'unknown', 'ran']).optional(),
  retryAfterMs: z.number().nonnegative().optional(),
});

/** Wire format of a frame; fields that do not apply are absent. */
const wireSchema = z.strictObject({
  id: z.int().nonnegative().optional(),
  replyTo: z.int().nonnegative().optional(),
  body: z.unknown().optional(),
  failure: failureSchema.optional(),
});

/** Wire format of an error. */
export type Failure = z.infer<typeof failureSchema>;

export type Frame<M> =
  | {kind: 'message'; body: M}
  | {kind: 'request'; id: number; body: M}
  | {kind: 'reply'; replyTo: number; body: M}
  | {kind: 'failure'; replyTo: number; failure: Failure};

/** Encodes and decodes frames; the codec keeps no state between frames. */
export class FrameCodec<M> {
  private readonly packr = new Packr();

  constructor(
    private readonly schema: z.ZodType<M>,
    private readonly maxMessageBytes: number,
  ) {}

  /** Throws `peer-message-invalid` if the encoded frame is too large. */
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

  /** Throws `peer-message-invalid` if the bytes are not a valid frame. */
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

/** Converts an error to its wire format. */
export function encodeError(error: TypedError): Failure {
  const {kind, message, remedy, run, retryAfterMs} = error;
  return {
    kind,
    message,
    remedy,
    ...(run === undefined ? {} : {run}),
    ...(retryAfterMs === undefined ? {} : {retryAfterMs}),
  };
}

/** Converts the wire format of an error back to an error. */
export function decodeError(failure: Failure): TypedError {
  const {kind, message, remedy, run, retryAfterMs} = failure;
  return new TypedError(kind, message, {remedy, run, retryAfterMs});
}
