/** Differences between two JSON values, one line per path. */

const MAX_VALUE_LENGTH = 60;

/** Lists the paths whose values differ, as `path: before -> after`. */
export function describeDifference(before: unknown, after: unknown): string[] {
  const earlier = flatten(before);
  const later = flatten(after);
  const paths = [...new Set([...earlier.keys(), ...later.keys()])];
  return paths
    .filter(path => earlier.get(path) !== later.get(path))
    .map(
      path =>
        `${path}: ${formatValue(earlier.get(path))} -> ${formatValue(later.get(path))}`,
    );
}

function flatten(node: unknown, path = ''): Map<string, string> {
  if (node === null || node === undefined) return new Map();
  if (typeof node !== 'object') return new Map([[path, JSON.stringify(node)]]);
  return new Map(
    Object.entries(node).flatMap(([key, value]) => [
      ...flatten(value, path === '' ? key : `${path}.${key}`),
    ]),
  );
}

function formatValue(value: string | undefined): string {
  if (value === undefined) return '(none)';
  return value.length > MAX_VALUE_LENGTH
    ? `${value.slice(0, MAX_VALUE_LENGTH)}…`
    : value;
}
