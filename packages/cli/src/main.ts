#!/usr/bin/env node
/** Entry point of `mimosatack`, the command-line tool for operators. */
import {randomBytes} from 'node:crypto';
import {readFile} from 'node:fs/promises';
import {SystemClock} from '@mimosatack/clock';
import {Cli} from 'clipanion';
import {runTool} from './run_tool.js';

const TOKEN_BYTES = 24;
const TOKEN_PREFIX = 'mt_';

process.exitCode = await runTool(process.argv.slice(2), {
  ...Cli.defaultContext,
  clock: new SystemClock(),
  makeToken: () =>
    TOKEN_PREFIX + randomBytes(TOKEN_BYTES).toString('base64url'),
  readFile: path => readFile(path, 'utf8'),
});
