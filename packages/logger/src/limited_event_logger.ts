import {type Clock} from '@mimosatack/clock';
import {type EventName} from './catalogue.js';
import {type EventFields, type EventLogger} from './event_logger.js';

/** Which events are limited, and to what. */
export interface LimitedEventLoggerOptions {
  clock: Clock;
  /** Events that strangers can cause; all others are always logged. */
  limited: readonly EventName[];
  maxPerInterval: number;
  intervalMs: number;
}

interface Window {
  startedAtMs: number;
  logged: number;
  suppressed: number;
}

/**
 * Guards against a flood of one event, such as a client that retries a wrong
 * token in a loop: the log would fill up and hide the rest. Each limited event
 * is logged a few times in an interval, and then how often it was left out.
 */
export class LimitedEventLogger implements EventLogger {
  private readonly windows = new Map<EventName, Window>();

  constructor(
    private readonly inner: EventLogger,
    private readonly options: LimitedEventLoggerOptions,
  ) {}

  log<N extends EventName>(name: N, fields: EventFields<N>): void {
    if (!this.options.limited.includes(name) || this.takeTurn(name)) {
      this.inner.log(name, fields);
    }
  }

  private takeTurn(name: EventName): boolean {
    const window = this.openWindow(name);
    if (window.logged < this.options.maxPerInterval) {
      window.logged += 1;
      return true;
    }
    window.suppressed += 1;
    return false;
  }

  private openWindow(name: EventName): Window {
    const {clock, intervalMs} = this.options;
    const nowMs = clock.monotonicMs();
    const current = this.windows.get(name);
    if (current && nowMs < current.startedAtMs + intervalMs) return current;
    if (current && current.suppressed > 0) {
      this.inner.log('events-suppressed', {
        suppressedEvent: name,
        count: current.suppressed,
      });
    }
    const opened = {startedAtMs: nowMs, logged: 0, suppressed: 0};
    this.windows.set(name, opened);
    return opened;
  }
}
