import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {countWorkers, planJobs, removeTotals, sumTotals} from './run_tests.js';
import {summarize} from './summary.js';

const FILES = ['packages/a/dist/a.test.js', 'platform/dist/b.test.js'];

function formatRun(file, passed, tests) {
  const fails = passed < tests ? ['   FAIL  a suite  "does it"', ''] : [];
  return [
    file,
    ` a suite  •   (${passed} / ${tests})`,
    ...fails,
    '\u001b[32m',
    `  Total:     ${tests}`,
    `  Passed:    ${passed}`,
    '  Skipped:   0',
    '  Duration:  1.00ms',
  ].join('\n');
}

function sumUp(outputs, status = 0) {
  const output = [...outputs.map(removeTotals), ...sumTotals(outputs)];
  return summarize({
    output: output.join('\n'),
    ...{status, testFiles: FILES, knownRedText: '', failedSteps: []},
  });
}

const test = suite('test run of several jobs');

test('each file with processes is a job', () => {
  assert.equal(planJobs(FILES), [
    '^packages/.*dist/.*\\.test\\.js$',
    '^platform/dist/b\\.test\\.js$',
  ]);
});

test('a few jobs run at the same time, one on a small machine', () => {
  assert.equal([1, 2, 4, 8, 64].map(countWorkers), [1, 1, 1, 2, 3]);
});

test('the totals of all jobs are added up', () => {
  const outputs = [formatRun(FILES[0], 2, 2), formatRun(FILES[1], 3, 3)];
  assert.equal(sumUp(outputs), {passed: 5, failed: 0, notes: []});
});

test('a test that fails in one job is named', () => {
  const outputs = [formatRun(FILES[0], 2, 2), formatRun(FILES[1], 2, 3)];
  const {passed, failed, notes} = sumUp(outputs, 1);
  assert.equal([passed, failed], [4, 1]);
  assert.equal(notes, ['Failed: a suite: does it']);
});

/** Guards against a job that leaves without an error and goes unnoticed. */
test('a job without totals is failed, whether it is the last one or not', () => {
  const whole = formatRun(FILES[0], 2, 2);
  const cut = FILES[1];
  assert.ok(sumUp([whole, cut]).failed > 0);
  assert.ok(sumUp([cut, whole]).failed > 0);
  assert.ok(sumUp([`${cut}\n b suite  •   (1 / 1)`, whole]).failed > 0);
});

test.run();
