/** Dependencies of the operator server on its node. */
import {type AgreedState} from '@mimosatack/agreed-state';
import {type AuditTrail} from '@mimosatack/audit-trail';
import {type Clock} from '@mimosatack/clock';
import {type EngineBoard} from '@mimosatack/engine-board';
import {type LogFollower} from '@mimosatack/follow-log';
import {type EventLogger} from '@mimosatack/logger';
import {type LogOffset} from '@mimosatack/types';
import {type FastifyServerFactory} from 'fastify';

/** A cluster node as this node sees it. */
export interface NodeView {
  nodeName: string;
  incarnation: string;
  status: string;
  failureDomain: string;
  callerBaseUrl: string;
  adminBaseUrl: string;
  release: string;
  /** The next log offset that the node will fold, as last reported. */
  nextOffset: LogOffset | null;
}

/** Dependencies of the operator server on its node. */
export interface OperatorContext {
  clock: Clock;
  logger: EventLogger;
  nodeName: string;
  release: string;
  follower: LogFollower;
  board: EngineBoard;
  audit: AuditTrail;
  /** SHA-256 in hex of the token that is valid before any team exists. */
  bootstrapTokenHash: string;
  submitTimeoutMs: number;
  maxBodyBytes: number;
  /** Creates the HTTP server; defaults to fastify's own. */
  serverFactory?: FastifyServerFactory;
  state(): AgreedState;
  listNodes(): NodeView[];
  /** Fetches the next offset of a node; null when it does not respond. */
  fetchNextOffset(nodeName: string): Promise<LogOffset | null>;
  makeRequestId(): string;
  isStopping(): boolean;
}
