import {type EventName} from './catalogue.js';
import {
  type EventFields,
  type EventLogger,
  type FieldValue,
} from './event_logger.js';

/** A logged event as `MemoryEventLogger` keeps it. */
export interface LoggedEvent {
  name: EventName;
  fields: Readonly<Record<string, FieldValue>>;
}

/** Keeps the logged events, so that tests can look at them. */
export class MemoryEventLogger implements EventLogger {
  readonly events: LoggedEvent[] = [];

  log<N extends EventName>(name: N, fields: EventFields<N>): void {
    this.events.push({name, fields});
  }

  /** The fields of each logged event of that name, oldest first. */
  fieldsOf<N extends EventName>(name: N): Array<EventFields<N>> {
    return this.events
      .filter(event => event.name === name)
      .map(event => event.fields as EventFields<N>);
  }
}
