import {ChangeEventCommand} from './change_command.js';
import {CreateEventCommand} from './create_command.js';
import {EventStatusCommand, WatchEventCommand} from './status_command.js';

/** Commands for events, in addition to those for all documents. */
export const EVENT_COMMANDS = [
  CreateEventCommand,
  ChangeEventCommand,
  EventStatusCommand,
  WatchEventCommand,
];
