export {
  BunyanEventLogger,
  type BunyanEventLoggerOptions,
  LOG_DESTINATIONS,
  type LogDestination,
} from './bunyan_event_logger.js';
export {
  EVENT_AREAS,
  EVENT_CATALOGUE,
  type EventArea,
  type EventName,
  findEventDefinition,
  listEvents,
} from './catalogue.js';
export {formatCatalogueAsMarkdown} from './catalogue_markdown.js';
export {type EventDefinition, LOG_LEVELS, type LogLevel} from './definition.js';
export {
  type EventFields,
  type EventLogger,
  type FieldValue,
} from './event_logger.js';
export {
  RateLimitedEventLogger,
  type RateLimitedEventLoggerOptions,
} from './limited_event_logger.js';
export {type LoggedEvent, MemoryEventLogger} from './memory_event_logger.js';
export {
  BackgroundStream,
  type BackgroundStreamOptions,
  openBackgroundStream,
} from './background_stream.js';
