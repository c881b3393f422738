#!/usr/bin/env node
/** Program: simulates scenarios of load and faults. */
import {Builtins, Cli} from 'clipanion';
import {CompareCommand} from './commands/compare/compare_command.js';
import {RunCommand} from './commands/run/run_command.js';

const cli = new Cli({
  binaryLabel: 'mimosatack-experiment',
  binaryName: 'mimosatack-experiment',
});
[Builtins.HelpCommand, RunCommand, CompareCommand].forEach(command =>
  cli.register(command),
);
await cli.runExit(process.argv.slice(2));
