/** Plain-text tables. */
import Table from 'cli-table3';

const NO_BORDERS = Object.fromEntries(
  [
    ...['top', 'top-mid', 'top-left', 'top-right'],
    ...['bottom', 'bottom-mid', 'bottom-left', 'bottom-right'],
    ...['left', 'left-mid', 'mid', 'mid-mid', 'right', 'right-mid'],
  ].map(name => [name, '']),
);

/** One column: its title and the value of a row in it. */
export interface Column<T> {
  title: string;
  read(row: T): string | number | boolean | null | undefined;
}

/** Formats rows without borders or colours, for use by other tools. */
export function formatTable<T>(
  rows: readonly T[],
  columns: readonly Column<T>[],
): string {
  if (rows.length === 0) return 'There are none.\n';
  const table = new Table({
    head: columns.map(column => column.title),
    chars: {...NO_BORDERS, middle: '  '},
    style: {head: [], border: [], 'padding-left': 0, 'padding-right': 0},
  });
  rows.forEach(row =>
    table.push(columns.map(column => toCell(column.read(row)))),
  );
  return `${table.toString().replace(/ +$/gm, '')}\n`;
}

/** Formats names and values, one pair per line. */
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
