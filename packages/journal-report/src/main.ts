#!/usr/bin/env node
/** Program: draws the score runs of a journal; `main.js JOURNAL_DIR OUTPUT_DIR`. */
import {readFileSync, readdirSync, writeFileSync} from 'node:fs';
import {join} from 'node:path';
import {type FigureName, drawRounds} from './draw_rounds.js';
import {formatRounds} from './format_rounds.js';
import {readRounds} from './read_rounds.js';

const FIGURES: readonly FigureName[] = ['worth', 'served', 'prices'];
const EXIT_USAGE = 2;

const [journalDir, outputDir] = process.argv.slice(2);
if (!journalDir || !outputDir) {
  process.stderr.write('Name the journal and the folder for the figures.\n');
  process.exit(EXIT_USAGE);
}

const files = readdirSync(journalDir)
  .filter(name => name.endsWith('.json'))
  .map(name => ({name, text: readFileSync(join(journalDir, name), 'utf8')}));
const {rounds, unreadable} = readRounds(files);
const sites = [...new Set(rounds.map(({site}) => site))];
sites.forEach(site =>
  FIGURES.forEach(figure => {
    const siteRounds = rounds.filter(round => round.site === site);
    const path = join(outputDir, `rounds_${site}_${figure}.svg`);
    writeFileSync(path, drawRounds(`${site}: ${figure}`, siteRounds, figure));
  }),
);
process.stdout.write(formatRounds(rounds));
if (unreadable.length > 0) {
  process.stderr.write(`Not read: ${unreadable.join(', ')}\n`);
}
