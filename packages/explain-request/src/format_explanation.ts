/** Formats an explanation as text. */
import {type Explanation} from './explain_request.js';
import {type LogLine} from './parse_log.js';

/** Fields that the line already shows, or that only programs need. */
const HIDDEN_FIELDS: readonly string[] = [
  ...['name', 'hostname', 'pid', 'level', 'msg', 'time', 'v', 'nodeName'],
  ...['eventName', 'eventNumber'],
];

export function formatExplanation({
  requestId,
  verdict,
  own,
  related,
}: Explanation): string {
  const startMs = own[0]?.atMs ?? 0;
  const format = (line: LogLine) => formatLine(line, {requestId, startMs});
  return [
    `Request ${requestId}: ${verdict.result}`,
    `Cause: ${verdict.cause}`,
    `Next: ${verdict.advice}`,
    '',
    'Its own lines:',
    ...own.map(format),
    '',
    'Meanwhile:',
    ...(related.length === 0 ? ['  nothing is told'] : related.map(format)),
    '',
  ].join('\n');
}

/** Shows the request id only in lines of other requests. */
function formatLine(
  line: LogLine,
  {requestId, startMs}: {requestId: string; startMs: number},
): string {
  const {atMs, nodeName, eventName, fields} = line;
  const shown = Object.entries(fields)
    .filter(([name, value]) => !HIDDEN_FIELDS.includes(name) && value !== null)
    .filter(([name, value]) => name !== 'requestId' || value !== requestId)
    .map(([name, value]) => `${name}=${formatValue(value)}`);
  const sinceMs = String(atMs - startMs).padStart(6);
  return `  ${sinceMs} ms  ${nodeName}  ${eventName}  ${shown.join(' ')}`;
}

function formatValue(value: unknown): string {
  return typeof value === 'string' ? value : JSON.stringify(value);
}
