import {DRAIN_COMMANDS} from './drain_commands.js';
import {ListBackendServersCommand, ListNodesCommand} from './list_commands.js';

/** Commands for nodes and backend servers. */
export const HOST_COMMANDS = [
  ListNodesCommand,
  ListBackendServersCommand,
  ...DRAIN_COMMANDS,
];
