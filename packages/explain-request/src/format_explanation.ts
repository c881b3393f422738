/** Writes an explanation for people. */
import {type Explanation} from './explain_request.js';
import {type LogLine} from './parse_log.js';

/** Fields that stand elsewhere in the line, or mean nothing to people. */
const HIDDEN: readonly string[] = [
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

/** The id is shown where it is another one's: of the same request, come again. */
function formatLine(
  line: LogLine,
  {requestId, startMs}: {requestId: string; startMs: number},
): string {
  const {atMs, nodeName, eventName, fields} = line;
  const shown = Object.entries(fields)
    .filter(([name, value]) => !HIDDEN.includes(name) && value !== null)
    .filter(([name, value]) => name !== 'requestId' || value !== requestId)
    .map(([name, value]) => `${name}=${toText(value)}`);
  const sinceMs = String(atMs - startMs).padStart(6);
  return `  ${sinceMs} ms  ${nodeName}  ${eventName}  ${shown.join(' ')}`;
}

function toText(value: unknown): string {
  return typeof value === 'string' ? value : JSON.stringify(value);
}
