/** Test fixture: followers on an in-memory log with injectable failures. */
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

const POLL_INTERVAL_MS = 1;

/** A log service with one in-memory stream. */
export class MemoryLog implements LogService {
  readonly appends: Uint8Array[] = [];
  firstOffset = 0;
  isDown = false;
  /** The number of upcoming appends that take effect but reject. */
  lostReplies = 0;

  append(_stream: string, data: Uint8Array): Promise<number> {
    if (this.isDown) return Promise.reject(makeOutageError());
    this.appends.push(data);
    if (this.lostReplies === 0) return Promise.resolve(this.appends.length - 1);
    this.lostReplies -= 1;
    return Promise.reject(makeOutageError());
  }

  async read(request: LogReadRequest): Promise<LogPage> {
    // Yields to other tasks, as a network read does.
    await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
    if (this.isDown) throw makeOutageError();
    const {from, limit} = request;
    const {firstOffset} = this;
    if (from < firstOffset) {
      throw new TypedError('trimmed', 'The record was trimmed.', {
        info: {firstOffset},
      });
    }
    const records = this.appends
      .slice(from, from + limit)
      .map((data, index): LogRecord => ({offset: from + index, data}));
    return {firstOffset, nextOffset: this.appends.length, records};
  }
}

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

/** Makes another follower the only source of states and appends. */
export function makePeerSources(peer: LogFollower) {
  return {
    states: [{pullState: () => Promise.resolve(copyState(peer))}],
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

export async function waitUntil(condition: () => boolean): Promise<void> {
  while (!condition()) {
    await new Promise(resolve => setTimeout(resolve, POLL_INTERVAL_MS));
  }
}

function copyState(peer: LogFollower): AgreedState {
  const {state} = peer;
  return (state.constructor as typeof AgreedState).fromBytes(state.toBytes());
}

function makeOutageError(): TypedError {
  return new TypedError('platform-unavailable', 'The log service is down.');
}
