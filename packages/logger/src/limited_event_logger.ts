import {type Clock} from '@mimosatack/clock';
import {type EventName} from './catalogue.js';
import {type EventFields, type EventLogger} from './event_logger.js';

export interface RateLimitedEventLoggerOptions {
  clock: Clock;
  /** Events that unauthenticated clients can trigger; others are unlimited. */
  limited: readonly EventName[];
  /** Limit for each event name. */
  maxPerInterval: number;
  intervalMs: number;
}

interface LogWindow {
  startedAtMs: number;
  logged: number;
  suppressed: number;
}

/**
 * Guards against a log flooded by one event, such as a client that retries an
 * invalid token: limits the rate of each event and logs the suppressed count.
 */
export class RateLimitedEventLogger implements EventLogger {
  private readonly windows = new Map<EventName, LogWindow>();

  constructor(
    private readonly inner: EventLogger,
    private readonly options: RateLimitedEventLoggerOptions,
  ) {}

  log<N extends EventName>(name: N, fields: EventFields<N>): void {
    if (!this.options.limited.includes(name) || this.tryConsume(name)) {
      this.inner.log(name, fields);
    }
  }

  private tryConsume(name: EventName): boolean {
    const window = this.currentWindow(name);
    if (window.logged < this.options.maxPerInterval) {
      window.logged += 1;
      return true;
    }
    window.suppressed += 1;
    return false;
  }

  private currentWindow(name: EventName): LogWindow {
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
