export {EXIT_CODES} from './exit_codes.js';
export {findSyntaxError, listCommandPaths, runTool} from './run_tool.js';
export {type ToolContext} from './tool_context.js';
