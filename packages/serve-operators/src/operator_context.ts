/** What the operators' interface needs of the node it runs in. */
import {type AgreedState} from '@mimosatack/agreed-state';
import {type Clock} from '@mimosatack/clock';
import {type EngineBoard} from '@mimosatack/engine-board';
import {type LogFollower} from '@mimosatack/follow-log';
import {type EventLogger} from '@mimosatack/logger';

/** One node as seen by this one. */
export interface NodeView {
  nodeName: string;
  incarnation: string;
  status: string;
  failureDomain: string;
  callerBaseUrl: string;
  adminBaseUrl: string;
  /** The next log offset that the node will fold, as it last said. */
  nextOffset: number | null;
}

/** What the operators' interface needs of the node it runs in. */
export interface OperatorContext {
  clock: Clock;
  logger: EventLogger;
  nodeName: string;
  follower: LogFollower;
  board: EngineBoard;
  /** SHA-256 in hex of the token that works before any team exists. */
  bootstrapTokenHash: string;
  submitTimeoutMs: number;
  maxBodyBytes: number;
  state(): AgreedState;
  listNodes(): NodeView[];
}
