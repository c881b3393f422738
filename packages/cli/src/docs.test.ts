import {readFileSync, readdirSync} from 'node:fs';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {EXIT_CODES, findSyntaxError} from './index.js';
import {createContext, runWith} from './testing_fixture.js';

const DOCS = new URL('../../../docs/', import.meta.url);
const PAGES = new URL('operators/', DOCS);
const TOOL = 'mimosatack ';

/** Lists the lines in shell blocks of the docs that run the tool. */
function listCommandLines(): {page: string; argv: string[]}[] {
  const pages = [
    ...readdirSync(PAGES).map(page => new URL(page, PAGES)),
    new URL('OPERATIONS.md', DOCS),
  ];
  return pages
    .filter(({pathname}) => pathname.endsWith('.md'))
    .flatMap(page =>
      listShellLines(readFileSync(page, 'utf8'))
        .filter(line => line.startsWith(TOOL))
        .map(line => ({
          page: page.pathname,
          argv: toArgv(line.slice(TOOL.length)),
        })),
    );
}

function listShellLines(text: string): string[] {
  return [...text.matchAll(/^ *```sh\n([^]*?)^ *```/gm)].flatMap(match =>
    (match[1] ?? '').split('\n').map(line => line.trim()),
  );
}

/** Splits a line at spaces, except inside double quotes. */
function toArgv(line: string): string[] {
  return [...line.matchAll(/"([^"]*)"|(\S+)/g)].map(
    match => match[1] ?? match[2] ?? '',
  );
}

const docs = suite('commands in docs/operators');

docs('every command in the pages parses', () => {
  const lines = listCommandLines();
  assert.ok(lines.length > 20);
  lines.forEach(({page, argv}) =>
    assert.is(
      findSyntaxError(argv, createContext()),
      null,
      `${page}: ${argv.join(' ')}`,
    ),
  );
});

docs('help and settings commands in the pages succeed', async () => {
  const env = {MIMOSATACK_CLUSTER_SECRET: 'a-secret-of-the-cluster'};
  const lines = listCommandLines().filter(
    ({argv}) =>
      argv.includes('--help') ||
      argv.includes('--version') ||
      argv[0] === 'settings',
  );
  assert.ok(lines.length >= 4);
  const runs = await Promise.all(lines.map(({argv}) => runWith(argv, {}, env)));
  runs.forEach(({exitCode, stdout}, index) => {
    const line = lines[index]?.argv.join(' ');
    assert.is(exitCode, EXIT_CODES.ok, `${line}: ${stdout}`);
    assert.ok(stdout, line);
  });
});

docs.run();
