/** The interface for parsing callers' requests and formatting errors. */
import {type IncomingMessage} from 'node:http';
import {type TypedError} from '@mimosatack/errors';
import {type CallerRequest} from '@mimosatack/serve-requests';

/** An HTTP error response. */
export interface RefusalForm {
  status: number;
  /** Alternating names and values. */
  headers: readonly string[];
  body: string;
}

/** Converts between HTTP messages of one API and typed requests. */
export interface EdgeDialect {
  /** Parses a request without its body, or returns the error. */
  readRequest(
    incoming: IncomingMessage,
    receivedAtMs: number,
  ): Omit<CallerRequest, 'body'> | TypedError;
  formatRefusal(error: TypedError, requestId: string | null): RefusalForm;
}
