/** The log service without its HTTP server. */
import {type Clock} from '@mimosatack/clock';
import {type LogPage} from '@mimosatack/platform';
import {type LogOffset} from '@mimosatack/types';
import {type ConnectionFaults, FaultSet} from '../shared/fault_set.js';
import {HttpProblem} from '../shared/http_problem.js';

/** Faults of one platform service. */
export interface PlatformFaults extends ConnectionFaults {
  /** Answers every request with 503. */
  down: boolean;
  /** Delay before a request takes effect, even if its caller disconnects. */
  slowMs: number;
  /** If not empty, only these callers see `down`, `slowMs` and "next N". */
  onlyNodes: string[];
}

export const NO_PLATFORM_FAULTS: PlatformFaults = {
  cutNodes: [],
  down: false,
  slowMs: 0,
  onlyNodes: [],
};

/** Faults of the log service. */
export interface LogFaults extends PlatformFaults {
  /** Next N appends: the record is stored, the connection destroyed. */
  loseAppendAnswers: number;
  /** Next N appends: answered with 503, and the record is not stored. */
  refuseAppends: number;
}

/** One appended record, including records trimmed since. */
export interface AppendedRecord {
  offset: LogOffset;
  data: Uint8Array;
  atMs: number;
  nodeId: string | null;
}

export interface ReadRange {
  stream: string;
  from: LogOffset;
  limit: number;
}

/** The recorded state of one stream, as ground truth for tests. */
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
  /** The next offset at the last reset. */
  observedFrom: LogOffset;
  lostAnswers: number;
}

/** Append-only streams that are trimmed at the start. */
export class LogServiceStandIn {
  readonly faults = new FaultSet<LogFaults>(
    {...NO_PLATFORM_FAULTS, loseAppendAnswers: 0, refuseAppends: 0},
    () => this.wakeReaders(),
  );
  private readonly streams = new Map<string, LogStream>();
  private waitingReaders: Array<() => void> = [];

  /** @param keepRecords the number of records retained in each stream. */
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

  /** Reads existing records; throws `trimmed` if `from` was trimmed. */
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
        this.waitingReaders = this.waitingReaders.filter(
          other => other !== wake,
        );
        resolve();
      };
      const timer = this.clock.setTimer(waitMs, wake);
      this.waitingReaders.push(wake);
    });
  }

  /** Removes records before `firstOffset`; never moves backwards. */
  trim(stream: string, firstOffset: LogOffset): void {
    const log = this.openStream(stream);
    const bounded = Math.min(firstOffset, log.history.length);
    log.firstOffset = Math.max(log.firstOffset, bounded);
  }

  /** Every record ever appended, including trimmed ones. */
  readHistory(stream: string): readonly AppendedRecord[] {
    return this.streams.get(stream)?.history ?? [];
  }

  /** Records that an append succeeded but its answer was not sent. */
  recordLostAnswer(stream: string): void {
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

  /** Wakes long polls, so that they check for new records and faults. */
  private wakeReaders(): void {
    [...this.waitingReaders].forEach(wake => wake());
  }

  private openStream(stream: string): LogStream {
    const existing = this.streams.get(stream);
    if (existing) return existing;
    const log = {history: [], firstOffset: 0, observedFrom: 0, lostAnswers: 0};
    this.streams.set(stream, log);
    return log;
  }
}
