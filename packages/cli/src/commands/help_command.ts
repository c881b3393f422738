/** `mimosatack --help`: lists the commands, one per line. */
import {Command} from 'clipanion';
import {formatTable} from '../print/table.js';
import {type ToolContext} from '../tool_context.js';

const CATEGORIES = ['Documents', 'Events', 'Operation'];

const INTRODUCTION = `mimosatack: drive a mimosatack system.

Say where a node's operators' interface is and who you are:
  MIMOSATACK_ADMIN_URL=http://10.0.0.5:7081,http://10.0.0.6:7081
  MIMOSATACK_TOKEN=<your token>

mimosatack <command> --help tells the options of a command.
`;

const EXIT_CODES_NOTE = `
Exit codes: 0 done, 1 refused or failed, 2 wrong usage, 3 waited in vain,
4 no node reachable, 5 another change was first.
`;

export class HelpCommand extends Command<ToolContext> {
  static override paths = [['-h'], ['--help'], ['help']];

  execute(): Promise<void> {
    const definitions = this.cli
      .definitions()
      .map(({path, category, description}) => ({
        name: path.replace('mimosatack ', ''),
        category: category?.trim(),
        description: description?.trim(),
      }));
    const sections = CATEGORIES.map(category => {
      const rows = definitions.filter(row => row.category === category);
      return `\n${formatTable(rows, [
        {title: category, read: row => row.name},
        {title: '', read: row => row.description},
      ])}`;
    });
    this.context.stdout.write(
      [INTRODUCTION, ...sections, EXIT_CODES_NOTE].join(''),
    );
    return Promise.resolve();
  }
}
