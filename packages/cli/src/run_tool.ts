/** Registers all commands and runs one of them. */
import {Builtins, Cli, type Command} from 'clipanion';
import {closest} from 'fastest-levenshtein';
import {AUDIT_COMMANDS} from './commands/audit/index.js';
import {DOCUMENT_COMMANDS} from './commands/document/index.js';
import {EVENT_COMMANDS} from './commands/event/index.js';
import {HelpCommand} from './commands/help_command.js';
import {HOST_COMMANDS} from './commands/host/index.js';
import {NODES_COMMANDS} from './commands/nodes/index.js';
import {REPLICA_COMMANDS} from './commands/replica/index.js';
import {EXPLAIN_COMMANDS} from './commands/explain/index.js';
import {SETTINGS_COMMANDS} from './commands/settings/index.js';
import {STATUS_COMMANDS} from './commands/status/index.js';
import {TEAM_COMMANDS} from './commands/team/index.js';
import {EXIT_CODES} from './exit_codes.js';
import {type ToolContext} from './tool_context.js';

const RELEASE = '0.1.0';

/** Runs one command line and resolves with the exit code. */
export async function runTool(
  argv: readonly string[],
  context: ToolContext,
): Promise<number> {
  const cli = buildCli(context.stdout.isTTY === true);
  const command = parse(cli, argv.length === 0 ? ['--help'] : argv, context);
  return command === null ? EXIT_CODES.usage : cli.run(command, context);
}

/** Returns the syntax error of a command line, or null when it parses. */
export function findSyntaxError(
  argv: readonly string[],
  context: ToolContext,
): string | null {
  try {
    buildCli(false).process([...argv], context);
    return null;
  } catch (thrown) {
    return thrown instanceof Error ? thrown.message : String(thrown);
  }
}

/** Lists all command paths, such as `mimosatack event list`. */
export function listCommandPaths(): string[] {
  return buildCli(false)
    .definitions()
    .map(definition => definition.path);
}

function buildCli(enableColors: boolean): Cli<ToolContext> {
  const cli = new Cli<ToolContext>({
    binaryName: 'mimosatack',
    binaryLabel: 'mimosatack, for operators',
    binaryVersion: RELEASE,
    enableColors,
  });
  [
    HelpCommand,
    Builtins.VersionCommand,
    ...DOCUMENT_COMMANDS,
    ...EVENT_COMMANDS,
    ...TEAM_COMMANDS,
    ...HOST_COMMANDS,
    ...REPLICA_COMMANDS,
    ...AUDIT_COMMANDS,
    ...STATUS_COMMANDS,
    ...SETTINGS_COMMANDS,
    ...EXPLAIN_COMMANDS,
    ...NODES_COMMANDS,
  ].forEach(command => cli.register(command));
  return cli;
}

function parse(
  cli: Cli<ToolContext>,
  argv: readonly string[],
  context: ToolContext,
): Command<ToolContext> | null {
  try {
    return cli.process([...argv], context);
  } catch (thrown) {
    const error = thrown instanceof Error ? thrown : new Error(String(thrown));
    context.stderr.write(formatUsageError(error, argv, cli));
    return null;
  }
}

/** Suggests the nearest command, where the library would list all of them. */
function formatUsageError(
  error: Error,
  argv: readonly string[],
  cli: Cli<ToolContext>,
): string {
  if (!error.message.startsWith('Command not found')) return cli.error(error);
  const words = argv.filter(word => !word.startsWith('-')).slice(0, 3);
  const names = cli
    .definitions()
    .map(({path}) => path.replace('mimosatack ', ''));
  const nearest = closest(words.join(' '), names);
  return (
    `usage: There is no command "${words.join(' ')}". ` +
    `Did you mean "mimosatack ${nearest}"? mimosatack --help lists them all.\n`
  );
}
