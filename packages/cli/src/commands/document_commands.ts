/** `mimosatack <kind> put|list`, the same for every kind of document. */
import {readFile} from 'node:fs/promises';
import {Command, type CommandClass, Option} from 'clipanion';
import {BaseCommand} from '../base_command.js';
import {
  type DocumentChange,
  parseContent,
  putDocument,
} from './put_document.js';

const KINDS: DocumentChange['kind'][] = [
  'team',
  'model',
  'service',
  'template',
  'event',
];

/** The commands for all kinds of documents. */
export function makeDocumentCommands(): CommandClass[] {
  return KINDS.flatMap(kind => [makePut(kind), makeList(kind)]);
}

function makePut(kind: DocumentChange['kind']): CommandClass {
  return class extends BaseCommand {
    static override paths = [[kind, 'put']];
    static override usage = Command.Usage({
      description: `Publish a ${kind} from a JSON file`,
    });

    documentId = Option.String({name: 'id'});
    file = Option.String({name: 'file'});
    reason = Option.String('--reason', {description: 'Why, for the audit'});
    expectedVersion = Option.String('--expected-version', {
      description: 'The version that the change was made against',
    });

    async execute(): Promise<void> {
      const content = parseContent(await readFile(this.file, 'utf8'));
      const change: DocumentChange = {
        kind,
        id: this.documentId,
        content,
        reason: this.reason,
        expectedVersion:
          this.expectedVersion === undefined
            ? undefined
            : Number(this.expectedVersion),
      };
      this.print(await putDocument(this.makeClient(), change));
    }
  };
}

function makeList(kind: DocumentChange['kind']): CommandClass {
  return class extends BaseCommand {
    static override paths = [[kind, 'list']];
    static override usage = Command.Usage({description: `List ${kind}s`});

    async execute(): Promise<void> {
      this.print(await this.makeClient().get(`/admin/v1/${kind}s`));
    }
  };
}
