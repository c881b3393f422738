/** `mimosatack <kind> versions`. */
import {type DocumentKind} from '@mimosatack/records';
import {Command, type CommandClass, Option} from 'clipanion';
import {z} from 'zod';
import {AdminCommand, type Report} from '../../base_command.js';
import {toDocumentPath} from '../../plans/document_plans.js';
import {formatTable} from '../../print/table.js';
import {formatTime} from '../../print/times.js';
import {withArticle} from '../../print/with_article.js';
import {type ToolContext} from '../../tool_context.js';

const versionSchema = z.looseObject({
  sequence: z.number(),
  writtenAtMs: z.number(),
  operator: z.string().nullable(),
  reason: z.string().nullable(),
  change: z.string(),
});

/** Creates the command that lists the versions in the audit trail. */
export function makeVersionsCommand(
  kind: DocumentKind,
): CommandClass<ToolContext> {
  return class extends AdminCommand {
    static override paths = [[kind, 'versions']];
    static override usage = Command.Usage({
      category: 'Documents',
      description: `List the changes of ${withArticle(kind)}, newest first`,
    });

    documentId = Option.String({name: 'id'});

    protected async perform(): Promise<Report> {
      const client = await this.connect();
      const items = await client.list(
        `${toDocumentPath(kind, this.documentId)}/versions`,
        {},
        versionSchema,
      );
      const text = formatTable(items, [
        {title: 'time', read: item => formatTime(item.writtenAtMs)},
        {title: 'change', read: item => item.change},
        {title: 'operator', read: item => item.operator},
        {title: 'reason', read: item => item.reason},
        {title: 'sequence', read: item => item.sequence},
      ]);
      return {json: {items}, text};
    }
  };
}
