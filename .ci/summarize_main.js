/**
 * Prints the summary of a test run, `N passed, N failed` on its last line.
 *
 * Usage: summarize_main.js OUTPUT_FILE EXIT_CODE_OF_TESTS [FAILED_STEP...]
 */
import {existsSync, readFileSync} from 'node:fs';
import {listTestFiles} from './list_test_files.js';
import {summarize} from './summary.js';

const [outputPath, status, ...failedSteps] = process.argv.slice(2);

const {passed, failed, notes} = summarize({
  output: readFileSync(outputPath, 'utf8'),
  status: Number(status),
  testFiles: listTestFiles(),
  knownRedText: existsSync('KNOWN-RED.txt')
    ? readFileSync('KNOWN-RED.txt', 'utf8')
    : '',
  failedSteps,
});

console.log(['== summary', ...notes].join('\n'));
console.log(`${passed} passed, ${failed} failed`);
process.exitCode = failed === 0 ? 0 : 1;
