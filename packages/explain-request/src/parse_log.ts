/** Reads log lines, whole ones only. */

/** One line of a node's log. */
export interface LogLine {
  /** When it was written, by the clock of its host. */
  atMs: number;
  nodeName: string;
  eventName: string;
  fields: Readonly<Record<string, unknown>>;
}

/** The lines of a file, and how many could not be read. */
export interface ParsedLog {
  lines: LogLine[];
  skipped: number;
}

/**
 * Parses a log. What stands before the first brace of a line is passed over,
 * since collectors put their own time or host there. A line that was cut in
 * half, by a kill or by a full disk, is counted and left out.
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
    // Half a line; the caller counts it.
    return null;
  }
}
