import {type EventName} from './catalogue.js';
import {
  type EventFields,
  type EventLogger,
  type FieldValue,
} from './event_logger.js';

export interface LoggedEvent {
  name: EventName;
  fields: Readonly<Record<string, FieldValue>>;
}

/** Keeps logged events in memory for assertions in tests. */
export class MemoryEventLogger implements EventLogger {
  readonly events: LoggedEvent[] = [];

  log<N extends EventName>(name: N, fields: EventFields<N>): void {
    this.events.push({name, fields});
  }

  /** Returns the fields of each event with this name, oldest first. */
  fieldsOf<N extends EventName>(name: N): Array<EventFields<N>> {
    return this.events
      .filter(event => event.name === name)
      .map(event => event.fields as EventFields<N>);
  }
}
