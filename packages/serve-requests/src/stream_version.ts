/** Keeps the answer to one request at the software version that began it. */
import {type BackendServerEntry, type TeamName} from '@mimosatack/types';
import {type CallerRequest} from './caller_request.js';
import {type StreamLookup} from './continue_stream.js';
import {type RequestTarget} from './request_pipeline.js';

export class StreamVersion {
  private begunAt: string | null;
  private server: BackendServerEntry | null = null;

  constructor(
    private readonly streams: StreamLookup,
    private readonly request: CallerRequest,
    private readonly target: RequestTarget,
  ) {
    this.begunAt = target.softwareVersion;
  }

  /** The version that the next server has to have; null for any. */
  get required(): string | null {
    return this.begunAt;
  }

  /** Whether the server may bring the first event now; see `waitUntilRecorded`. */
  mayBeginAt(server: BackendServerEntry): boolean {
    return (
      this.target.route.kind !== 'streaming' || this.streams.mayBegin(server)
    );
  }

  /** False if another server should be asked for meanwhile. */
  mayBeginSoonAt(server: BackendServerEntry): boolean {
    return this.streams.mayBeginSoon(server);
  }

  /** Resolves with whether the server may bring the first event after all. */
  waitUntilRecorded(
    server: BackendServerEntry,
    signal: AbortSignal,
  ): Promise<boolean> {
    return this.streams.waitUntilRecorded(server, signal);
  }

  recordSent(server: BackendServerEntry): void {
    this.server = server;
  }

  /**
   * Called before the first event. Earlier, another server might still answer, and other
   * hosts would not learn of it if the link to them broke meanwhile.
   */
  recordBegin(team: TeamName | null): void {
    const {server, request, target} = this;
    if (!server || target.route.kind !== 'streaming') return;
    const {service, softwareVersion} = server;
    this.begunAt ??= softwareVersion;
    const requestId = request.resumedRequestId ?? request.requestId;
    this.streams.record({requestId, team}, {service, softwareVersion});
  }
}
