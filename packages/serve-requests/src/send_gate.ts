/** Withholds a request from servers that became unavailable after they were chosen. */
import {type ServerAvailability} from '@mimosatack/track-availability';
import {type BackendServerEntry, type BackendServerId} from '@mimosatack/types';

export interface SendGateOptions {
  availability: Pick<ServerAvailability, 'findWaitMs'>;
  /** Servers that must not be chosen for the request. */
  excludedServers: Set<BackendServerId>;
  onWithheld: (serverId: BackendServerId, waitMs: number) => void;
}

/** An unavailable server that is chosen more often is excluded for the request. */
const MAX_WITHHELD = 3;

/**
 * Guards against requests to a leaving or paused server that were assigned by a
 * scheduling node that does not know, or that waited when the server said so.
 */
export class SendGate {
  private withheldCount = 0;

  constructor(private readonly options: SendGateOptions) {}

  /** Whether the request may be sent to the server now. */
  allows(server: BackendServerEntry): boolean {
    const {availability, excludedServers, onWithheld} = this.options;
    const waitMs = availability.findWaitMs(server);
    if (waitMs === 0) return true;
    onWithheld(server.id, waitMs);
    this.withheldCount += 1;
    if (this.withheldCount >= MAX_WITHHELD) excludedServers.add(server.id);
    return false;
  }
}
