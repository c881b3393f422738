import {AddTokenCommand, RemoveTokenCommand} from './token_commands.js';

/** Commands for teams, in addition to those for all documents. */
export const TEAM_COMMANDS = [AddTokenCommand, RemoveTokenCommand];
