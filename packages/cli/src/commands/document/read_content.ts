import {UsageError} from 'clipanion';
import {readInputFile} from '../../base_command.js';
import {type ToolContext} from '../../tool_context.js';

/** Reads the content of a document from a JSON file. */
export async function readContent(
  context: ToolContext,
  path: string,
): Promise<unknown> {
  const text = await readInputFile(context, path);
  try {
    return JSON.parse(text) as unknown;
  } catch (thrown) {
    throw new UsageError(`${path} is not JSON: ${(thrown as Error).message}`);
  }
}
