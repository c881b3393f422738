/** A buffer of recent raw appends for peers that can't read the log. */
import {type LogRecord} from '@mimosatack/platform';
import {type LogOffset} from '@mimosatack/types';

const MAX_BUFFER_BYTES = 2 * 1024 * 1024;

/** Contiguous raw appends, bounded by total size. */
export class AppendBuffer {
  private records: LogRecord[] = [];
  private bytes = 0;

  add(record: LogRecord): void {
    this.records.push(record);
    this.bytes += record.data.length;
    if (this.bytes > MAX_BUFFER_BYTES) this.evictOldest();
  }

  clear(): void {
    this.records = [];
    this.bytes = 0;
  }

  /** Returns the appends from `from` on; empty when `from` was evicted. */
  listFrom(from: LogOffset, maxBytes: number): LogRecord[] {
    const first = this.records[0]?.offset;
    if (first === undefined || from < first) return [];
    const wanted = this.records.slice(from - first);
    const count = countRecordsWithin(wanted, maxBytes);
    return wanted.slice(0, count);
  }

  /** Drops a quarter at once to amortize the cost of `splice`. */
  private evictOldest(): void {
    const count = Math.max(1, Math.floor(this.records.length / 4));
    const dropped = this.records.splice(0, count);
    this.bytes -= dropped.reduce((sum, record) => sum + record.data.length, 0);
  }
}

/** The number of records that fit into `maxBytes`, at least one. */
function countRecordsWithin(
  records: readonly LogRecord[],
  maxBytes: number,
): number {
  let bytes = 0;
  const firstExcessIndex = records.findIndex(record => {
    bytes += record.data.length;
    return bytes > maxBytes;
  });
  return firstExcessIndex < 0 ? records.length : Math.max(1, firstExcessIndex);
}
