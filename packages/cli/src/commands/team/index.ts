import {AddTokenCommand, RemoveTokenCommand} from './token_commands.js';

/** The commands that teams have beside those of all documents. */
export const TEAM_COMMANDS = [AddTokenCommand, RemoveTokenCommand];
