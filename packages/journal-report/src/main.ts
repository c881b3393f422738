#!/usr/bin/env node
/** Program: draws the rounds of a journal; `main.js JOURNAL_DIR OUTPUT_DIR`. */
import {readFileSync, readdirSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {type FigureName, drawRounds} from './draw_rounds.js';
import {formatRounds} from './format_rounds.js';
import {readRounds} from './read_rounds.js';

const FIGURES: readonly FigureName[] = ['worth', 'served', 'prices'];
const EXIT_USAGE = 2;

const [journal, output] = process.argv.slice(2);
if (!journal || !output) {
  process.stderr.write('Name the journal and the folder for the figures.\n');
  process.exit(EXIT_USAGE);
}

const files = readdirSync(journal)
  .filter(name => name.endsWith('.json'))
  .map(name => ({name, text: readFileSync(join(journal, name), 'utf8')}));
const {rounds, unreadable} = readRounds(files);
const sites = [...new Set(rounds.map(({site}) => site))];
sites.forEach(site =>
  FIGURES.forEach(figure => {
    const ofSite = rounds.filter(round => round.site === site);
    const path = join(output, `rounds_${site}_${figure}.svg`);
    writeFileSync(path, drawRounds(`${site}: ${figure}`, ofSite, figure));
  }),
);
process.stdout.write(formatRounds(rounds));
if (unreadable.length > 0) {
  process.stderr.write(`Not read: ${unreadable.join(', ')}\n`);
}
