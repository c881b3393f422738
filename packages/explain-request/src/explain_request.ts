/** Explains the result of one request from the log lines of all nodes. */
import {findVerdict, type Verdict} from './find_verdict.js';
import {type LogLine} from './parse_log.js';

export {type Verdict} from './find_verdict.js';

/** The result of a request, with the log lines that support it. */
export interface Explanation {
  requestId: string;
  verdict: Verdict;
  /** Lines that carry the id of the request, by time. */
  own: readonly LogLine[];
  /** Lines about repeats of the request and about parts involved, by time. */
  related: readonly LogLine[];
}

/** Events up to this long before a request may be the cause of its failure. */
const WINDOW_BEFORE_MS = 5_000;
/** Covers delayed events, such as the restart of a killed node. */
const WINDOW_AFTER_MS = 5_000;

/** Events about a node as a whole. */
const NODE_EVENTS: readonly string[] = [
  ...['node-started', 'shutdown-phase', 'unexpected-error', 'duty-lost'],
  ...['dependency-lost', 'dependency-regained', 'duty-holder-changed'],
  ...['configuration-applied', 'lines-dropped', 'settings-reloaded'],
];
/** Events about one backend server. */
const SERVER_EVENTS: readonly string[] = ['server-changed', 'engine-ordered'];
/** Events about requests with the same fingerprint, at any time. */
const REPEAT_EVENTS: readonly string[] = [
  ...['attempt-ended', 'request-contained', 'request-released'],
];

/** Returns null when no line names the request. */
export function explainRequest(
  requestId: string,
  lines: readonly LogLine[],
): Explanation | null {
  const own = sortByTime(
    lines.filter(({fields}) => fields['requestId'] === requestId),
  );
  const [first] = own;
  const last = own.at(-1);
  if (!first || !last) return null;
  const sinceMs = first.atMs - WINDOW_BEFORE_MS;
  const untilMs = last.atMs + WINDOW_AFTER_MS;
  const nodes = new Set(own.map(({nodeName}) => nodeName));
  const servers = new Set(own.map(({fields}) => fields['backendServerId']));
  const models = new Set(own.flatMap(({fields}) => fields['model'] ?? []));
  const fingerprints = new Set(
    own.flatMap(({fields}) => fields['fingerprint'] ?? []),
  );
  const related = sortByTime(
    lines.filter(
      line =>
        isRepeat(line, requestId, fingerprints) ||
        (line.atMs >= sinceMs &&
          line.atMs <= untilMs &&
          isRelated(line, {nodes, servers, models})),
    ),
  );
  return {
    ...{requestId, own, related},
    verdict: findVerdict(own, related),
  };
}

/** Nodes, servers and models that a request involved. */
interface InvolvedParts {
  nodes: ReadonlySet<string>;
  servers: ReadonlySet<unknown>;
  models: ReadonlySet<unknown>;
}

function isRelated(
  {nodeName, eventName, fields}: LogLine,
  {nodes, servers, models}: InvolvedParts,
): boolean {
  if (NODE_EVENTS.includes(eventName)) return nodes.has(nodeName);
  if (!SERVER_EVENTS.includes(eventName)) return false;
  return servers.has(fields['backendServerId']) || models.has(fields['model']);
}

function isRepeat(
  {eventName, fields}: LogLine,
  requestId: string,
  fingerprints: ReadonlySet<unknown>,
): boolean {
  return (
    REPEAT_EVENTS.includes(eventName) &&
    fingerprints.has(fields['fingerprint']) &&
    fields['requestId'] !== requestId
  );
}

function sortByTime(lines: readonly LogLine[]): LogLine[] {
  return [...lines].sort((a, b) => a.atMs - b.atMs);
}
