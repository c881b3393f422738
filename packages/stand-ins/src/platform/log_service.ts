/** The log service without its HTTP server. */
import {type Clock} from '@mimosatack/clock';
import {type LogPage} from '@mimosatack/platform';
import {type LogOffset} from '@mimosatack/types';
import {type ConnectionFaults, FaultSet} from '../shared/fault_set.js';
import {HttpProblem} from '../shared/http_problem.js';

/** Faults of one platform service. */
export interface PlatformFaults extends ConnectionFaults {
  /** Answers 503 to everything. */
  down: boolean;
  /** Delay before a request takes effect; it does also if its caller left. */
  slowMs: number;
  /** When not empty, `down`, `slowMs` and "next N" hit these callers alone. */
  onlyNodes: string[];
}

/** A platform service without a fault. */
export const NO_PLATFORM_FAULTS: PlatformFaults = {
  cutNodes: [],
  down: false,
  slowMs: 0,
  onlyNodes: [],
};

/** Faults of the log service. */
export interface LogFaults extends PlatformFaults {
  /** Next N appends: the record is kept, the connection destroyed. */
  loseAppendAnswers: number;
  /** Next N appends: answered 503, and nothing is kept. */
  refuseAppends: number;
}

/** One record that was truly appended, whether or not it is still kept. */
export interface AppendedRecord {
  offset: LogOffset;
  data: Uint8Array;
  atMs: number;
  nodeId: string | null;
}

/** What to read from a stream. */
export interface ReadRange {
  stream: string;
  from: LogOffset;
  limit: number;
}

/** What truly happened to one stream. */
export interface StreamObservation {
  stream: string;
  /** Records appended since the start or the last reset. */
  appends: number;
  lostAnswers: number;
  firstOffset: LogOffset;
  nextOffset: LogOffset;
  lastAppendMs: number | null;
}

interface LogStream {
  /** Every record ever appended; its index is its offset. */
  history: AppendedRecord[];
  firstOffset: LogOffset;
  /** Where the observation began. */
  observedFrom: LogOffset;
  lostAnswers: number;
}

/** Streams that only grow at the end and are trimmed at the start. */
export class LogServiceStandIn {
  readonly faults = new FaultSet<LogFaults>(
    {...NO_PLATFORM_FAULTS, loseAppendAnswers: 0, refuseAppends: 0},
    () => this.wakeReaders(),
  );
  private readonly streams = new Map<string, LogStream>();
  private waiting: Array<() => void> = [];

  /** @param keepRecords how many records each stream keeps. */
  constructor(
    private readonly clock: Clock,
    private readonly keepRecords = Number.MAX_SAFE_INTEGER,
  ) {}

  append(
    stream: string,
    data: Uint8Array,
    nodeId: string | null = null,
  ): LogOffset {
    const log = this.openStream(stream);
    const offset = log.history.length;
    log.history.push({offset, data, nodeId, atMs: this.clock.wallMs()});
    this.trim(stream, offset + 1 - this.keepRecords);
    this.wakeReaders();
    return offset;
  }

  /** Reads what there is; throws `trimmed` when `from` is no longer kept. */
  read({stream, from, limit}: ReadRange): LogPage {
    const {history, firstOffset} = this.openStream(stream);
    if (from < firstOffset) {
      throw new HttpProblem(410, 'trimmed', `${stream} starts later.`, {
        firstOffset,
      });
    }
    const records = history
      .slice(from, from + limit)
      .map(({offset, data}) => ({offset, data}));
    return {firstOffset, nextOffset: history.length, records};
  }

  /** Resolves after `waitMs`, on any append, or when faults change. */
  waitForChange(waitMs: number): Promise<void> {
    return new Promise(resolve => {
      const wake = () => {
        timer.cancel();
        this.waiting = this.waiting.filter(other => other !== wake);
        resolve();
      };
      const timer = this.clock.setTimer(waitMs, wake);
      this.waiting.push(wake);
    });
  }

  /** Forgets records before `firstOffset`. */
  trim(stream: string, firstOffset: LogOffset): void {
    const log = this.openStream(stream);
    const bounded = Math.min(firstOffset, log.history.length);
    log.firstOffset = Math.max(log.firstOffset, bounded);
  }

  /** Every record ever appended, also those that are trimmed. */
  readHistory(stream: string): readonly AppendedRecord[] {
    return this.streams.get(stream)?.history ?? [];
  }

  /** Notes that an append took effect but its answer was not sent. */
  noteLostAnswer(stream: string): void {
    this.openStream(stream).lostAnswers += 1;
  }

  observe(): {streams: StreamObservation[]} {
    const streams = [...this.streams].map(([stream, log]) => ({
      stream,
      appends: log.history.length - log.observedFrom,
      lostAnswers: log.lostAnswers,
      firstOffset: log.firstOffset,
      nextOffset: log.history.length,
      lastAppendMs: log.history.at(-1)?.atMs ?? null,
    }));
    return {streams};
  }

  resetObservation(): void {
    [...this.streams.values()].forEach(log => {
      log.observedFrom = log.history.length;
      log.lostAnswers = 0;
    });
  }

  /** Wakes long polls, so that they see new records and new faults. */
  private wakeReaders(): void {
    [...this.waiting].forEach(wake => wake());
  }

  private openStream(stream: string): LogStream {
    const known = this.streams.get(stream);
    if (known) return known;
    const log = {history: [], firstOffset: 0, observedFrom: 0, lostAnswers: 0};
    this.streams.set(stream, log);
    return log;
  }
}
