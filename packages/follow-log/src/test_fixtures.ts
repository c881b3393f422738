/** A log service in memory that can be told to fail, and followers on it. */
import {type AgreedState} from '@mimosatack/agreed-state';
import {SystemClock} from '@mimosatack/clock';
import {TypedError} from '@mimosatack/errors';
import {MemoryEventLogger} from '@mimosatack/logger';
import {
  type LogPage,
  type LogReadRequest,
  type LogRecord,
  type LogService,
} from '@mimosatack/platform';
import {SeededRandom} from '@mimosatack/random';
import {type RecordBody} from '@mimosatack/records';
import {LogFollower} from './log_follower.js';

const WAKE_MS = 1;

/** One stream of a log service, in memory. */
export class MemoryLog implements LogService {
  readonly appends: Uint8Array[] = [];
  firstOffset = 0;
  isDown = false;
  /** How many of the next appends take effect but seem to fail. */
  lostAnswers = 0;

  append(_stream: string, data: Uint8Array): Promise<number> {
    if (this.isDown) return Promise.reject(makeOutage());
    this.appends.push(data);
    if (this.lostAnswers === 0) return Promise.resolve(this.appends.length - 1);
    this.lostAnswers -= 1;
    return Promise.reject(makeOutage());
  }

  async read(request: LogReadRequest): Promise<LogPage> {
    // Lets other tasks run, as a read over the network would.
    await new Promise(resolve => setTimeout(resolve, WAKE_MS));
    if (this.isDown) throw makeOutage();
    const {from, limit} = request;
    const {firstOffset} = this;
    if (from < firstOffset) {
      throw new TypedError('trimmed', 'gone', {info: {firstOffset}});
    }
    const records = this.appends
      .slice(from, from + limit)
      .map((data, index): LogRecord => ({offset: from + index, data}));
    return {firstOffset, nextOffset: this.appends.length, records};
  }
}

/** A follower on a log, with no peers and no checkpoints. */
export function makeFollower(log: LogService, name = 'node-1'): LogFollower {
  return new LogFollower({
    clock: new SystemClock(),
    random: new SeededRandom(1),
    logger: new MemoryEventLogger(),
    log,
    stream: 'decisions',
    incarnation: `${name}.aaaaaaaa`,
    longPollMs: 1,
    retryDelayMs: 1,
  });
}

export const NO_SOURCES = {
  states: [],
  appends: {pullAppends: () => Promise.resolve([])},
};

/** Another follower as the only source of one that can't read the log. */
export function makePeerSources(peer: LogFollower) {
  return {
    states: [{pullState: () => Promise.resolve(copyOf(peer))}],
    appends: {
      pullAppends: (from: number) => Promise.resolve(peer.listAppends(from)),
    },
  };
}

export function makeTeam(id: string): RecordBody {
  return {
    type: 'put-document',
    kind: 'team',
    id,
    expectedVersion: 0,
    content: {},
  };
}

/** Waits until a condition holds. */
export async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise(resolve => setTimeout(resolve, WAKE_MS));
  }
}

function copyOf(peer: LogFollower): AgreedState {
  const {state} = peer;
  return (state.constructor as typeof AgreedState).fromBytes(state.toBytes());
}

function makeOutage(): TypedError {
  return new TypedError('platform-unavailable', 'The log service is down.');
}
