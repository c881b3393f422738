/** Commands that exist for every kind of document. */
import {type CommandClass} from 'clipanion';
import {KINDS} from '../../plans/document_plans.js';
import {type ToolContext} from '../../tool_context.js';
import {makeDeleteCommand} from './delete_command.js';
import {makeListCommand} from './list_command.js';
import {makePutCommand} from './put_command.js';
import {makeShowCommand} from './show_command.js';
import {makeValidateCommand} from './validate_command.js';
import {makeVersionsCommand} from './versions_command.js';

const FACTORIES = [
  makeListCommand,
  makeShowCommand,
  makePutCommand,
  makeValidateCommand,
  makeDeleteCommand,
  makeVersionsCommand,
];

/** `list`, `show`, `put`, `validate`, `delete` and `versions` of each kind. */
export const DOCUMENT_COMMANDS: CommandClass<ToolContext>[] = KINDS.flatMap(
  kind => FACTORIES.map(make => make(kind)),
);
