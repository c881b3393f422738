/** `mimosatack <kind> show`. */
import {type DocumentKind} from '@mimosatack/records';
import {Command, type CommandClass, Option} from 'clipanion';
import {AdminCommand, type Report} from '../../base_command.js';
import {withArticle} from '../../print/with_article.js';
import {type ToolContext} from '../../tool_context.js';
import {readDocument} from './read_version.js';

/** Creates the command that shows a document of one kind. */
export function makeShowCommand(kind: DocumentKind): CommandClass<ToolContext> {
  return class extends AdminCommand {
    static override paths = [[kind, 'show']];
    static override usage = Command.Usage({
      category: 'Documents',
      description: `Show ${withArticle(kind)} as it is in force`,
    });

    documentId = Option.String({name: 'id'});

    protected async perform(): Promise<Report> {
      const client = await this.connect();
      const document = await readDocument(client, kind, this.documentId);
      const content = JSON.stringify(document.content, null, 2);
      return {
        json: document,
        text: `${kind} ${document.id}, version ${document.version}\n${content}\n`,
      };
    }
  };
}
