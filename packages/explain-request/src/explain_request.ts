/** Says what became of one request, by the log lines of all nodes. */
import {findVerdict, type Verdict} from './find_verdict.js';
import {type LogLine} from './parse_log.js';

export {type Verdict} from './find_verdict.js';

/** What is known of a request. */
export interface Explanation {
  requestId: string;
  verdict: Verdict;
  /** The request's own lines, in the order of time. */
  own: readonly LogLine[];
  /** What happened meanwhile to the nodes and servers that it met. */
  related: readonly LogLine[];
}

/** What happened this long before a request may be its cause. */
const BEFORE_MS = 5_000;
/** What shows afterwards, such as the restart of a node that was killed. */
const AFTER_MS = 5_000;

/** Events that tell of a node as a whole. */
const NODE_EVENTS: readonly string[] = [
  ...['node-started', 'shutdown-phase', 'unexpected-error', 'duty-lost'],
  ...['dependency-lost', 'dependency-regained', 'duty-holder-changed'],
  ...['configuration-applied', 'lines-dropped', 'settings-reloaded'],
];
/** Events that tell of one backend server. */
const SERVER_EVENTS: readonly string[] = ['server-changed', 'engine-ordered'];
/** Events that tell of the same request under other ids, at any time. */
const REPEAT_EVENTS: readonly string[] = [
  ...['attempt-ended', 'request-contained', 'request-released'],
];

/** Null when no line names the request. */
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
  const sinceMs = first.atMs - BEFORE_MS;
  const untilMs = last.atMs + AFTER_MS;
  const nodes = new Set(own.map(({nodeName}) => nodeName));
  const servers = new Set(own.map(({fields}) => fields['backendServerId']));
  const models = new Set(own.flatMap(({fields}) => fields['model'] ?? []));
  const prints = new Set(
    own.flatMap(({fields}) => fields['fingerprint'] ?? []),
  );
  const related = sortByTime(
    lines.filter(
      line =>
        isRepeat(line, requestId, prints) ||
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

/** What a request met. */
interface Met {
  nodes: ReadonlySet<string>;
  servers: ReadonlySet<unknown>;
  models: ReadonlySet<unknown>;
}

function isRelated(
  {nodeName, eventName, fields}: LogLine,
  {nodes, servers, models}: Met,
): boolean {
  if (NODE_EVENTS.includes(eventName)) return nodes.has(nodeName);
  if (!SERVER_EVENTS.includes(eventName)) return false;
  return servers.has(fields['backendServerId']) || models.has(fields['model']);
}

function isRepeat(
  {eventName, fields}: LogLine,
  requestId: string,
  prints: ReadonlySet<unknown>,
): boolean {
  return (
    REPEAT_EVENTS.includes(eventName) &&
    prints.has(fields['fingerprint']) &&
    fields['requestId'] !== requestId
  );
}

function sortByTime(lines: readonly LogLine[]): LogLine[] {
  return [...lines].sort((a, b) => a.atMs - b.atMs);
}
