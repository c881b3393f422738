/** Server-sent events of a streamed response and their wire format. */
import {type TypedError, formatErrorBody} from '@mimosatack/errors';

/** One server-sent event; the ids of a response count up from 0. */
export interface StreamEvent {
  id: number;
  data: string;
}

/** Data of the event that ends a complete response. */
export const END_OF_ANSWER = '[DONE]';

export function isEndEvent(event: StreamEvent): boolean {
  return event.data === END_OF_ANSWER;
}

/** Includes the id, so that a caller can resume after the event. */
export function formatEvent({id, data}: StreamEvent): string {
  return `id: ${id}\ndata: ${toDataLines(data)}\n\n`;
}

/**
 * Formats an error in a stream so that common clients raise it as a request
 * error. It has no id, so a caller resumes after the last response event.
 */
export function formatErrorEvent(error: TypedError): string {
  const {error: body} = formatErrorBody(error);
  const fields = {...body, type: body.kind, code: body.kind};
  return `data: ${JSON.stringify({error: fields})}\n\n`;
}

/** Repeats the field name after each line break, which would end the field. */
function toDataLines(data: string): string {
  return data.includes('\n') ? data.replaceAll('\n', '\ndata: ') : data;
}
