/** Readable tables for terminals and for pipes. */
import Table from 'cli-table3';

const NO_LINES = Object.fromEntries(
  [
    ...['top', 'top-mid', 'top-left', 'top-right'],
    ...['bottom', 'bottom-mid', 'bottom-left', 'bottom-right'],
    ...['left', 'left-mid', 'mid', 'mid-mid', 'right', 'right-mid'],
  ].map(name => [name, '']),
);

/** One column: its title and how a row fills it. */
export interface Column<T> {
  title: string;
  read(row: T): string | number | boolean | null | undefined;
}

/** Rows without lines or colours, so that other tools can cut them. */
export function formatTable<T>(
  rows: readonly T[],
  columns: readonly Column<T>[],
): string {
  if (rows.length === 0) return 'There are none.\n';
  const table = new Table({
    head: columns.map(column => column.title),
    chars: {...NO_LINES, middle: '  '},
    style: {head: [], border: [], 'padding-left': 0, 'padding-right': 0},
  });
  rows.forEach(row =>
    table.push(columns.map(column => toCell(column.read(row)))),
  );
  return `${table.toString().replace(/ +$/gm, '')}\n`;
}

/** Names with their values, one a line. */
export function formatFields(
  fields: Readonly<Record<string, string | number | boolean | null>>,
): string {
  return formatTable(Object.entries(fields), [
    {title: 'field', read: ([name]) => name},
    {title: 'value', read: ([, value]) => value},
  ]);
}

function toCell(value: string | number | boolean | null | undefined): string {
  if (value === null || value === undefined || value === '') return '-';
  if (typeof value === 'boolean') return value ? 'yes' : 'no';
  return String(value);
}
