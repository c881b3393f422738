/**
 * Notices when this node begins or ceases to send a considerable share of a service's
 * requests to other failure domains.
 */
import {type ServiceName} from '@mimosatack/types';

/** What this node has sent during the last window. */
export interface SpillChange {
  service: ServiceName;
  isSpilling: boolean;
  sent: number;
  /** Requests that were sent to other failure domains. */
  left: number;
  windowMs: number;
}

/** Long enough that short bursts cause no event. */
const MIN_WINDOW_MS = 5_000;
/** With fewer requests, the share that leaves is chance. */
const MIN_REQUESTS = 50;
/** Ends the window of a service with few requests. */
const MAX_WINDOW_MS = 60_000;
/** The shares differ so that a share near one of them causes no repeated events. */
const BEGIN_SHARE = 0.1;
const CEASE_SHARE = 0.02;

interface Window {
  beganAtMs: number;
  sent: number;
  left: number;
  isSpilling: boolean;
}

export class SpillWatch {
  private readonly windows = new Map<ServiceName, Window>();

  constructor(private readonly onChanged: (change: SpillChange) => void) {}

  recordSent(service: ServiceName, isSameDomain: boolean, nowMs: number): void {
    const window = this.windows.get(service) ?? makeWindow(false, nowMs);
    this.windows.set(service, window);
    window.sent += 1;
    window.left += isSameDomain ? 0 : 1;
    const windowMs = nowMs - window.beganAtMs;
    const isLong = windowMs >= MIN_WINDOW_MS && window.sent >= MIN_REQUESTS;
    if (isLong || windowMs >= MAX_WINDOW_MS) this.end(service, window, nowMs);
  }

  private end(service: ServiceName, window: Window, nowMs: number): void {
    const {sent, left, beganAtMs} = window;
    const limit = window.isSpilling ? CEASE_SHARE : BEGIN_SHARE;
    const isSpilling = left / sent >= limit;
    this.windows.set(service, makeWindow(isSpilling, nowMs));
    if (isSpilling === window.isSpilling) return;
    const windowMs = nowMs - beganAtMs;
    this.onChanged({service, isSpilling, sent, left, windowMs});
  }
}

function makeWindow(isSpilling: boolean, beganAtMs: number): Window {
  return {beganAtMs, sent: 0, left: 0, isSpilling};
}
