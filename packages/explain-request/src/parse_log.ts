/** Parses log files of nodes, skipping incomplete lines. */

/** One line of a node's log. */
export interface LogLine {
  /** Time of writing by the clock of the node's host. */
  atMs: number;
  nodeName: string;
  eventName: string;
  fields: Readonly<Record<string, unknown>>;
}

/** The parsed lines of a file and the number of lines that did not parse. */
export interface ParsedLog {
  lines: LogLine[];
  skipped: number;
}

/**
 * Parses a log. The text before the first brace of a line is ignored, since log
 * collectors add a prefix. A truncated line, as a killed process or a full disk
 * leaves it, is counted as skipped.
 */
export function parseLog(text: string): ParsedLog {
  const rows = text.split('\n').filter(row => row.includes('{'));
  const lines = rows.flatMap(row => parseLine(row.slice(row.indexOf('{'))));
  return {lines, skipped: rows.length - lines.length};
}

function parseLine(text: string): LogLine[] {
  const fields = parseJson(text);
  if (!fields) return [];
  const {time, nodeName, eventName} = fields;
  const atMs = typeof time === 'string' ? Date.parse(time) : NaN;
  if (Number.isNaN(atMs)) return [];
  if (typeof nodeName !== 'string' || typeof eventName !== 'string') return [];
  return [{atMs, nodeName, eventName, fields}];
}

function parseJson(text: string): Record<string, unknown> | null {
  try {
    const value: unknown = JSON.parse(text);
    return typeof value === 'object' && value !== null
      ? (value as Record<string, unknown>)
      : null;
  } catch {
    // A truncated line; `parseLog` counts it.
    return null;
  }
}
