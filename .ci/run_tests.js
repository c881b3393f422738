/** Plans the jobs of a test run and adds their outputs up. */

import {stripVTControlCharacters} from 'node:util';

/** Cores for each job: a job runs several processes that mostly wait. */
const CORES_PER_WORKER = 3;
const MAX_WORKERS = 3;

const TOTAL_LABELS = ['Total', 'Passed', 'Skipped'];

/**
 * Returns the pattern of each job's test files. Tests with real processes take a job for each
 * file, all others one together, which comes first as it takes the longest.
 *
 * @param {readonly string[]} testFiles built test files, as uvu names them
 * @returns {string[]}
 */
export function planJobs(testFiles) {
  const ofPlatform = testFiles.filter(file => file.startsWith('platform/'));
  return [
    '^packages/.*dist/.*\\.test\\.js$',
    ...ofPlatform.map(file => `^${file.replaceAll('.', '\\.')}$`),
  ];
}

/**
 * How many jobs run at the same time.
 *
 * @param {number} cores
 * @returns {number}
 */
export function countWorkers(cores) {
  const fitting = Math.floor(cores / CORES_PER_WORKER);
  return Math.min(MAX_WORKERS, Math.max(1, fitting));
}

/**
 * The totals of all jobs in the form in which uvu prints them; no lines unless each job has
 * printed its own, so that a job that ends early does not go unnoticed.
 *
 * @param {readonly string[]} outputs of one job each
 * @returns {string[]}
 */
export function sumTotals(outputs) {
  const totals = outputs.map(readTotals);
  if (totals.some(found => found.includes(undefined))) return [];
  return TOTAL_LABELS.map((label, at) => {
    const sum = totals.reduce((before, found) => before + found[at], 0);
    return `  ${`${label}:`.padEnd(10)} ${sum}`;
  });
}

/**
 * The output of a job without its totals.
 *
 * @param {string} output
 * @returns {string}
 */
export function removeTotals(output) {
  return output
    .split('\n')
    .filter(line => readTotal(line) === undefined)
    .join('\n');
}

function readTotals(output) {
  const lines = output.split('\n');
  return TOTAL_LABELS.map(
    label =>
      lines.map(readTotal).findLast(found => found?.label === label)?.count,
  );
}

function readTotal(line) {
  const plain = stripVTControlCharacters(line);
  const match = /^ {2}(Total|Passed|Skipped): +(\d+)$/.exec(plain);
  return match ? {label: match[1], count: Number(match[2])} : undefined;
}
