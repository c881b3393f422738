#!/usr/bin/env node
/** Program: the command-line tool for operators. */
import {Builtins, Cli} from 'clipanion';
import {makeDocumentCommands} from './commands/document_commands.js';
import {makeStatusCommands} from './commands/status_commands.js';

const cli = new Cli({
  binaryName: 'mimosatack',
  binaryLabel: 'mimosatack',
  binaryVersion: '0.1.0',
});
cli.register(Builtins.HelpCommand);
cli.register(Builtins.VersionCommand);
[...makeDocumentCommands(), ...makeStatusCommands()].forEach(command =>
  cli.register(command),
);
const code = await cli.run(process.argv.slice(2));
process.exitCode ||= code;
