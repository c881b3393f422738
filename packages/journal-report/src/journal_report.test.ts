import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {drawRounds} from './draw_rounds.js';
import {formatRounds} from './format_rounds.js';
import {readRounds} from './read_rounds.js';

const test = suite('report of the journal');

function makeEntry(cmd: string, at: string, worth: number): string {
  const parts = [
    ['whole day', 0.6, 0.9],
    ['worst windows', 0.4, 0.5],
  ];
  const day = (name: string) => ({name, G: worth, served: 0.9, parts});
  return JSON.stringify({
    ...{cmd, at: [at, at], site: 'pantry', fresh: 'fresh-1'},
    days: [day('quiet-1'), day('fresh-1')],
  });
}

const FILES = [
  {name: 'b.json', text: makeEntry('score', '2026-12-02T11:00:00Z', 0.6)},
  {name: 'a.json', text: makeEntry('score', '2026-12-02T10:00:00Z', 0.5)},
  {name: 'run.json', text: makeEntry('run', '2026-12-02T12:00:00Z', 0.1)},
  {name: 'cut.json', text: '{"cmd":"sco'},
];

test('score runs are sorted by time, and a truncated entry is listed by name', () => {
  const {rounds, unreadable} = readRounds(FILES);
  assert.equal(
    rounds.map(({days}) => days.map(({name, worth}) => `${name} ${worth}`)),
    [['quiet-1 0.5'], ['quiet-1 0.6']],
  );
  assert.ok(Math.abs((rounds[0]?.days[0]?.prices ?? 0) - 0.24) < 1e-9);
  assert.equal(unreadable, ['cut.json']);
});

test('score runs are drawn as one line per day and formatted as a table', () => {
  const {rounds} = readRounds(FILES);
  const svg = drawRounds('pantry: worth', rounds, 'worth');
  assert.is(svg.match(/<path /g)?.length, 1);
  assert.match(svg, 'quiet-1');
  assert.match(formatRounds(rounds), /pantry +quiet-1 +0\.600 +0\.900 +0\.140/);
});

test.run();
