/** Values that another writer could leave in a record. All are texts of JSON. */

/** A field and the values that it may not have. */
export type OddField = readonly [string, readonly string[]];

const DEPTH = 100_000;
const LONG_TEXT_CHARS = 100_000;
const MANY_ITEMS = 60_000;

export function makeDeepArray(depth = DEPTH): string {
  return '['.repeat(depth) + ']'.repeat(depth);
}

export function makeDeepObject(depth = DEPTH): string {
  return `${'{"a":'.repeat(depth)}1${'}'.repeat(depth)}`;
}

/** Each item is invalid as an object and as a text. */
export function makeManyItems(): string {
  return `[${Array(MANY_ITEMS).fill('1').join(',')}]`;
}

const LONG_TEXT = JSON.stringify('x'.repeat(LONG_TEXT_CHARS));

/** Texts that are no record of any kind; some are no JSON. */
export const ODD_RECORDS: Readonly<Record<string, string>> = {
  'nested arrays': makeDeepArray(),
  'nested objects': makeDeepObject(),
  'nested arrays without an end': '['.repeat(DEPTH),
  'many items': makeManyItems(),
  'a long text': LONG_TEXT,
  'a number too large': '1e999',
  null: 'null',
  'an empty text': '""',
  'no bytes': '',
  'a prototype': '{"__proto__":{"slots":1}}',
  'half of an object': '{"service":',
  'no JSON': '\u0000\uffff',
};

/** Values that are no count. */
export const ODD_COUNTS: readonly string[] = [
  ...['1e999', '-1e999', '1e308', '9007199254740993', '-1', '1.5'],
  ...['"7"', 'null', '[]', '{}', 'true', makeDeepArray()],
];

/** Values that are no duration in milliseconds. */
export const ODD_DURATIONS: readonly string[] = [
  ...['1e999', '1e308', '9007199254740993', '-1', '2147483648'],
  ...['"7"', '[]', makeDeepArray()],
];

/** Values that are no name. */
export const ODD_NAMES: readonly string[] = [
  ...['7', 'null', '[]', '{}', LONG_TEXT, makeDeepArray()],
];

/** Texts that are no address of a server. */
export const ODD_ADDRESSES: readonly string[] = [
  ...['', '::1', '127.0.0.1', '127.0.0.1:', '127.0.0.1:0', '127.0.0.1:65536'],
  ...['127.0.0.1:99999', '999.1.1.1:80', '256.0.0.1:80', '[::1]:80'],
  ...['127.0.0.1:8 0', '127.0.0.1:-1', 'localhost:80', ' 127.0.0.1:80'],
  ...['127.0.0.1:80\n', '0127.0.0.1:80', '127.0.0.1:080', '1.1.1.1.1:80'],
].map(text => JSON.stringify(text));

/** The JSON of a record with one field replaced or added. */
export function replaceField(
  record: object,
  field: string,
  text: string,
): string {
  const rest = Object.entries(record).filter(([name]) => name !== field);
  const fields = rest.map(
    ([name, value]) => `${JSON.stringify(name)}:${JSON.stringify(value)}`,
  );
  return `{${[...fields, `${JSON.stringify(field)}:${text}`].join(',')}}`;
}

/** Names and texts of a record with each of the odd values in its place. */
export function listOddRecords(
  record: object,
  fields: readonly OddField[],
): Array<[string, string]> {
  return fields.flatMap(([field, values]) =>
    values.map((text): [string, string] => [
      `${field}: ${text.slice(0, 40)}`,
      replaceField(record, field, text),
    ]),
  );
}
