/** What the operators' interface needs of the node it runs in. */
import {type AgreedState} from '@mimosatack/agreed-state';
import {type AuditTrail} from '@mimosatack/audit-trail';
import {type Clock} from '@mimosatack/clock';
import {type EngineBoard} from '@mimosatack/engine-board';
import {type LogFollower} from '@mimosatack/follow-log';
import {type EventLogger} from '@mimosatack/logger';
import {type LogOffset} from '@mimosatack/types';
import {type FastifyServerFactory} from 'fastify';

/** One node as seen by this one. */
export interface NodeView {
  nodeName: string;
  incarnation: string;
  status: string;
  failureDomain: string;
  callerBaseUrl: string;
  adminBaseUrl: string;
  release: string;
  /** The next log offset that the node will fold, as it last said. */
  nextOffset: LogOffset | null;
}

/** What the operators' interface needs of the node it runs in. */
export interface OperatorContext {
  clock: Clock;
  logger: EventLogger;
  nodeName: string;
  release: string;
  follower: LogFollower;
  board: EngineBoard;
  audit: AuditTrail;
  /** SHA-256 in hex of the token that works before any team exists. */
  bootstrapTokenHash: string;
  submitTimeoutMs: number;
  maxBodyBytes: number;
  /** Makes the HTTP server; fastify's own when left out. */
  serverFactory?: FastifyServerFactory;
  state(): AgreedState;
  listNodes(): NodeView[];
  /** Asks a node how far it has folded; null when it does not answer. */
  askNextOffset(nodeName: string): Promise<LogOffset | null>;
  makeRequestId(): string;
  /** Whether the node has begun to shut down. */
  isStopping(): boolean;
}
