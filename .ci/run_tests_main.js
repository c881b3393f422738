/** Runs all test files with uvu, several at the same time; `npm test` calls it. */
import {spawn} from 'node:child_process';
import {availableParallelism} from 'node:os';
import {listTestFiles} from './list_test_files.js';
import {countWorkers, planJobs, removeTotals, sumTotals} from './run_tests.js';

const UVU_PATH = 'node_modules/uvu/bin.js';

const jobs = planJobs(listTestFiles());
const running = new Set();
const outputs = [];
let status = 0;

async function work() {
  for (let job = jobs.shift(); job !== undefined; job = jobs.shift()) {
    const {output, code} = await runUvu(job);
    process.stdout.write(`${removeTotals(output)}\n`);
    outputs.push(output);
    status ||= code;
  }
}

/** Resolves with what one run of uvu has printed, and its exit code. */
function runUvu(pattern) {
  const child = spawn(process.execPath, [UVU_PATH, '.', pattern], {
    stdio: ['ignore', 'pipe', 'pipe'],
  });
  const run = {child, output: ''};
  running.add(run);
  const collect = part => (run.output += part);
  child.stdout.on('data', collect);
  child.stderr.on('data', collect);
  return new Promise(resolve =>
    child.on('close', code => {
      running.delete(run);
      resolve({output: run.output, code: code ?? 1});
    }),
  );
}

// A run that hangs is ended from outside; what it was in shows in the output.
process.once('SIGTERM', () => {
  jobs.length = 0;
  running.forEach(({child}) => child.kill());
});

const workers = countWorkers(availableParallelism());
await Promise.all(Array.from({length: workers}, work));
console.log(['', ...sumTotals(outputs)].join('\n'));
process.exitCode = status;
