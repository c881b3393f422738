/** One event of an answer's stream, and its form on the wire. */
import {type TypedError, formatErrorBody} from '@mimosatack/errors';

/** One server-sent event; the ids of one answer count up from 0. */
export interface StreamEvent {
  id: number;
  data: string;
}

/** What the last event of a whole answer carries. */
export const END_OF_ANSWER = '[DONE]';

/** Whether an event says that the answer is whole. */
export function isEndOfAnswer(event: StreamEvent): boolean {
  return event.data === END_OF_ANSWER;
}

/** The event as text, with its id for a caller that resumes. */
export function formatEvent({id, data}: StreamEvent): string {
  return `id: ${id}\ndata: ${toDataLines(data)}\n\n`;
}

/**
 * An error in the middle of a stream, in the form that the common clients
 * raise as an error of the request. It has no id, so that a caller that
 * resumes names the last event of the answer itself.
 */
export function formatErrorEvent(error: TypedError): string {
  const {error: body} = formatErrorBody(error);
  const told = {...body, type: body.kind, code: body.kind};
  return `data: ${JSON.stringify({error: told})}\n\n`;
}

/** A line break inside the data would end the field. */
function toDataLines(data: string): string {
  return data.includes('\n') ? data.replaceAll('\n', '\ndata: ') : data;
}
