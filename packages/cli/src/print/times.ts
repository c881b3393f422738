/** Formats times and durations. */

const SECOND_MS = 1_000;
const MINUTE_MS = 60_000;
const HOUR_MS = 3_600_000;
const DAY_MS = 86_400_000;

/** Formats a time in UTC, to the second. */
export function formatTime(timeMs: number | null): string {
  if (timeMs === null) return '-';
  const time = new Date(timeMs);
  return Number.isNaN(time.getTime())
    ? '-'
    : time.toISOString().replace(/\.\d+Z$/, 'Z');
}

/** Formats a duration in its two largest units. */
export function formatDuration(durationMs: number): string {
  const sign = durationMs < 0 ? '-' : '';
  const absoluteMs = Math.abs(durationMs);
  if (absoluteMs >= DAY_MS) {
    return sign + formatInUnits(absoluteMs, DAY_MS, 'd', HOUR_MS, 'h');
  }
  if (absoluteMs >= HOUR_MS) {
    return sign + formatInUnits(absoluteMs, HOUR_MS, 'h', MINUTE_MS, 'min');
  }
  if (absoluteMs >= MINUTE_MS) {
    return sign + formatInUnits(absoluteMs, MINUTE_MS, 'min', SECOND_MS, 's');
  }
  return `${sign}${(absoluteMs / SECOND_MS).toFixed(1)} s`;
}

function formatInUnits(
  durationMs: number,
  largeMs: number,
  largeName: string,
  smallMs: number,
  smallName: string,
): string {
  const large = Math.floor(durationMs / largeMs);
  const small = Math.floor((durationMs % largeMs) / smallMs);
  return `${large} ${largeName} ${small} ${smallName}`;
}
