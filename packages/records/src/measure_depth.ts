/**
 * Counts the levels of arrays and objects, and of the value itself, up to one more than
 * the limit. Iterative, because recursion could overflow the stack.
 */
export function measureDepth(value: unknown, limit: number): number {
  let depth = 0;
  let level = [value];
  while (level.length > 0 && depth <= limit) {
    depth += 1;
    level = level.flatMap(listChildren);
  }
  return depth;
}

function listChildren(node: unknown): unknown[] {
  return typeof node === 'object' && node !== null ? Object.values(node) : [];
}
