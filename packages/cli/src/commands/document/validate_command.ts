/** `mimosatack <kind> validate`. */
import {type DocumentKind} from '@mimosatack/records';
import {Command, type CommandClass, Option} from 'clipanion';
import {type DryRunResponse, dryRunSchema} from '../../responses.js';
import {AdminCommand, type Report} from '../../base_command.js';
import {EXIT_CODES} from '../../exit_codes.js';
import {planValidate} from '../../plans/document_plans.js';
import {describeDifference} from '../../print/difference.js';
import {withArticle} from '../../print/with_article.js';
import {type ToolContext} from '../../tool_context.js';
import {readContent} from './read_content.js';

/** Creates the command that validates a document of one kind. */
export function makeValidateCommand(
  kind: DocumentKind,
): CommandClass<ToolContext> {
  return class extends AdminCommand {
    static override paths = [[kind, 'validate']];
    static override usage = Command.Usage({
      category: 'Documents',
      description: `Show what publishing ${withArticle(kind)} would do, without doing it`,
    });

    documentId = Option.String({name: 'id'});
    file = Option.String({name: 'file'});

    protected async perform(): Promise<Report> {
      const content = await readContent(this.context, this.file);
      const client = await this.connect();
      const result = await client.send(
        planValidate(kind, this.documentId, content),
        dryRunSchema,
      );
      return {
        json: result,
        text: describe(result),
        exitCode: result.isAccepted ? EXIT_CODES.ok : EXIT_CODES.refused,
      };
    }
  };
}

function describe(result: DryRunResponse): string {
  if (!result.isAccepted) {
    return ['It would be refused:', ...indent(result.faults), ''].join('\n');
  }
  const events = result.affectedEvents.flatMap(({eventId, before, after}) => [
    `Event ${eventId} would change:`,
    ...indent(describeDifference(before, after)),
  ]);
  const resolved =
    result.resolvedEvent === null
      ? []
      : ['The event would be:', JSON.stringify(result.resolvedEvent, null, 2)];
  return [
    `It would be accepted over version ${result.expectedVersion}.`,
    ...resolved,
    ...events,
    '',
  ].join('\n');
}

function indent(lines: readonly string[]): string[] {
  return lines.map(line => `  ${line}`);
}
