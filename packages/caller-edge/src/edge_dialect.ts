/** How callers' requests are read and refusals are written. */
import {type IncomingMessage} from 'node:http';
import {type TypedError} from '@mimosatack/errors';
import {type CallerRequest} from '@mimosatack/serve-requests';

/** A refusal as it goes out. */
export interface RefusalForm {
  status: number;
  /** Names and values by turns. */
  headers: readonly string[];
  body: string;
}

/** Translates between HTTP messages of one interface and typed requests. */
export interface EdgeDialect {
  /** The request without its body, or why it can't be taken. */
  readRequest(
    incoming: IncomingMessage,
    receivedAtMs: number,
  ): Omit<CallerRequest, 'body'> | TypedError;
  formatRefusal(error: TypedError, requestId: string | null): RefusalForm;
}
