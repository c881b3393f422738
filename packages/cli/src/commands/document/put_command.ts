/** `mimosatack <kind> put`. */
import {type DocumentKind} from '@mimosatack/records';
import {Command, type CommandClass, Option} from 'clipanion';
import {type Report, parseCount} from '../../base_command.js';
import {ChangingCommand} from '../../changing_command.js';
import {planPut} from '../../plans/document_plans.js';
import {withArticle} from '../../print/with_article.js';
import {type ToolContext} from '../../tool_context.js';
import {readContent} from './read_content.js';
import {readVersion} from './read_version.js';

/** Creates the command that publishes a document of one kind. */
export function makePutCommand(kind: DocumentKind): CommandClass<ToolContext> {
  return class extends ChangingCommand {
    static override paths = [[kind, 'put']];
    static override usage = Command.Usage({
      category: 'Documents',
      description: `Publish ${withArticle(kind)} from a JSON file`,
      details: `Without \`--expected-version\` the change is made against the version that is in force when the command runs. Give the version you read, so that nobody's change in between is overwritten.`,
      examples: [['Publish and wait', `$0 ${kind} put name file.json --wait`]],
    });

    documentId = Option.String({name: 'id'});
    file = Option.String({name: 'file'});
    expectedVersion = Option.String('--expected-version', {
      description: 'The version that the change was made against; 0 to create',
    });

    protected async perform(): Promise<Report> {
      const content = await readContent(this.context, this.file);
      const given = parseCount(this.expectedVersion, '--expected-version');
      const client = await this.connect();
      const id = this.documentId;
      const expectedVersion = given ?? (await readVersion(client, kind, id));
      const accepted = await this.apply(
        planPut({kind, id, content, expectedVersion, reason: this.reason}),
      );
      return {
        json: accepted,
        text: `${kind} ${id} is at version ${accepted.version}.\n`,
      };
    }
  };
}
