/** `mimosatack <kind> delete`, and `event cancel`. */
import {type DocumentKind} from '@mimosatack/records';
import {Command, type CommandClass, Option} from 'clipanion';
import {type Report, parseCount} from '../../base_command.js';
import {ChangingCommand} from '../../changing_command.js';
import {planDelete} from '../../plans/document_plans.js';
import {withArticle} from '../../print/with_article.js';
import {type ToolContext} from '../../tool_context.js';
import {readDocument} from './read_version.js';

/** Creates the command that deletes a document of one kind. */
export function makeDeleteCommand(
  kind: DocumentKind,
): CommandClass<ToolContext> {
  return class extends ChangingCommand {
    static override paths =
      kind === 'event'
        ? [
            ['event', 'cancel'],
            ['event', 'delete'],
          ]
        : [[kind, 'delete']];
    static override usage = Command.Usage({
      category: kind === 'event' ? 'Events' : 'Documents',
      description:
        kind === 'event'
          ? 'Cancel an event; its replicas are unloaded'
          : `Delete ${withArticle(kind)}`,
    });

    documentId = Option.String({name: 'id'});
    expectedVersion = Option.String('--expected-version', {
      description: 'The version that the change was made against',
    });

    protected async perform(): Promise<Report> {
      const given = parseCount(this.expectedVersion, '--expected-version');
      const client = await this.connect();
      const id = this.documentId;
      const version = given ?? (await readDocument(client, kind, id)).version;
      const accepted = await this.apply(
        planDelete(kind, id, version, this.reason),
      );
      return {json: accepted, text: `${kind} ${id} is deleted.\n`};
    }
  };
}
