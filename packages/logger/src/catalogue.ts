/** The catalogue of log events and the number ranges of its areas. */
import {type EventDefinition} from './definition.js';
import {CONTROL_EVENTS} from './events/control_events.js';
import {LOG_EVENTS} from './events/log_events.js';
import {OPERATOR_EVENTS} from './events/operator_events.js';
import {PROCESS_EVENTS} from './events/process_events.js';
import {REQUEST_EVENTS} from './events/request_events.js';
import {SCHEDULING_EVENTS} from './events/scheduling_events.js';

export const EVENT_CATALOGUE = {
  ...PROCESS_EVENTS,
  ...LOG_EVENTS,
  ...CONTROL_EVENTS,
  ...REQUEST_EVENTS,
  ...OPERATOR_EVENTS,
  ...SCHEDULING_EVENTS,
} as const satisfies Record<string, EventDefinition>;

export type EventName = keyof typeof EVENT_CATALOGUE;

/** A part of the system with its own range of event numbers. */
export interface EventArea {
  title: string;
  firstNumber: number;
  lastNumber: number;
}

/** All areas, sorted by number. */
export const EVENT_AREAS: readonly EventArea[] = [
  {title: 'Process', firstNumber: 1000, lastNumber: 1099},
  {title: 'Settings', firstNumber: 1100, lastNumber: 1199},
  {title: 'Certificates and metrics', firstNumber: 1200, lastNumber: 1299},
  {title: 'Log service', firstNumber: 2000, lastNumber: 2099},
  {title: 'Checkpoints', firstNumber: 2100, lastNumber: 2199},
  {title: 'Store and servers', firstNumber: 2200, lastNumber: 2299},
  {title: 'Configuration', firstNumber: 3000, lastNumber: 3099},
  {title: 'Placement and warming', firstNumber: 3100, lastNumber: 3199},
  {title: 'Stewardship', firstNumber: 3200, lastNumber: 3299},
  {title: 'Membership', firstNumber: 3300, lastNumber: 3399},
  {title: 'Duties and scheduling', firstNumber: 3400, lastNumber: 3499},
  {title: 'Caller requests', firstNumber: 4000, lastNumber: 4099},
  {title: 'Routing', firstNumber: 4100, lastNumber: 4199},
  {title: 'Idempotency', firstNumber: 4200, lastNumber: 4299},
  {title: 'Streams', firstNumber: 4300, lastNumber: 4399},
  {title: "Operators' interface", firstNumber: 5000, lastNumber: 5099},
];

/** Lists all events, sorted by number. */
export function listEvents(): Array<EventDefinition & {name: EventName}> {
  return (Object.keys(EVENT_CATALOGUE) as EventName[])
    .map(name => ({name, ...findEventDefinition(name)}))
    .sort((a, b) => a.number - b.number);
}

export function findEventDefinition(name: EventName): EventDefinition {
  return EVENT_CATALOGUE[name];
}
