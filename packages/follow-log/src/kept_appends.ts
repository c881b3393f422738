/** The last raw appends, for peers that can't read the log themselves. */
import {type LogRecord} from '@mimosatack/platform';
import {type LogOffset} from '@mimosatack/types';

const MAX_KEPT_BYTES = 2 * 1024 * 1024;

/** Raw appends without a gap, bounded by their bytes. */
export class KeptAppends {
  private records: LogRecord[] = [];
  private bytes = 0;

  add(record: LogRecord): void {
    this.records.push(record);
    this.bytes += record.data.length;
    if (this.bytes > MAX_KEPT_BYTES) this.dropOldest();
  }

  clear(): void {
    this.records = [];
    this.bytes = 0;
  }

  /** Appends from `from` on; empty when that one is not kept any more. */
  listFrom(from: LogOffset, maxBytes: number): LogRecord[] {
    const first = this.records[0]?.offset;
    if (first === undefined || from < first) return [];
    const wanted = this.records.slice(from - first);
    const cut = findByteLimit(wanted, maxBytes);
    return wanted.slice(0, cut);
  }

  /** Drops a quarter at once, so that this is rarely done. */
  private dropOldest(): void {
    const count = Math.max(1, Math.floor(this.records.length / 4));
    const dropped = this.records.splice(0, count);
    this.bytes -= dropped.reduce((sum, record) => sum + record.data.length, 0);
  }
}

/** How many records fit, but at least one. */
function findByteLimit(
  records: readonly LogRecord[],
  maxBytes: number,
): number {
  let bytes = 0;
  const tooFar = records.findIndex(record => {
    bytes += record.data.length;
    return bytes > maxBytes;
  });
  return tooFar < 0 ? records.length : Math.max(1, tooFar);
}
