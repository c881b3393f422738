/** `mimosatack <kind> list`. */
import {type DocumentKind} from '@mimosatack/records';
import {Command, type CommandClass, Option} from 'clipanion';
import {type DocumentResponse, documentSchema} from '../../responses.js';
import {AdminCommand, type Report} from '../../base_command.js';
import {toListPath} from '../../plans/document_plans.js';
import {type Column, formatTable} from '../../print/table.js';
import {type ToolContext} from '../../tool_context.js';

const BASE_COLUMNS: Column<DocumentResponse>[] = [
  {title: 'id', read: document => document.id},
  {title: 'version', read: document => document.version},
];

const CONTENT_COLUMNS: Record<DocumentKind, string[]> = {
  team: ['displayName'],
  model: ['pool', 'version', 'memoryMib'],
  service: ['pool'],
  template: ['team', 'description'],
  event: ['team', 'template'],
};

/** Creates the command that lists documents of one kind. */
export function makeListCommand(kind: DocumentKind): CommandClass<ToolContext> {
  return class extends AdminCommand {
    static override paths = [[kind, 'list']];
    static override usage = Command.Usage({
      category: 'Documents',
      description: `List ${kind}s`,
    });

    team = Option.String('--team', {
      description: "Only this team's",
    });

    protected async perform(): Promise<Report> {
      const client = await this.connect();
      const items = await client.list(
        toListPath(kind),
        {team: this.team},
        documentSchema,
      );
      const contentColumns = CONTENT_COLUMNS[kind].map(field => ({
        title: field,
        read: (document: DocumentResponse) => toText(document.content[field]),
      }));
      return {
        json: {items},
        text: formatTable(items, [...BASE_COLUMNS, ...contentColumns]),
      };
    }
  };
}

function toText(value: unknown): string {
  return typeof value === 'string' || typeof value === 'number'
    ? String(value)
    : '';
}
