/** Selects a server that a request may be sent to now. */
import {type BackendServerEntry, type BackendServerId} from '@mimosatack/types';
import {type CrashGuard, makeContainedError} from './crash_guard.js';
import {type SendGate} from './send_gate.js';
import {
  type ChosenServer,
  type ServerAsk,
  type ServerChoice,
  type ServerChooser,
} from './server_chooser.js';
import {type StreamVersion} from './stream_version.js';
import {type SuspectLease} from './suspect_lease.js';

export interface ServerSelectionOptions {
  chooser: Pick<ServerChooser, 'choose' | 'release'>;
  guard: CrashGuard;
  lease: SuspectLease;
  gate: SendGate;
  version: Pick<
    StreamVersion,
    'mayBeginAt' | 'mayBeginSoonAt' | 'waitUntilRecorded'
  >;
  /** Servers that must not be chosen for the request. */
  excludedServers: Set<BackendServerId>;
  makeAsk: () => ServerAsk;
  /** Whether a server may have run the request already. */
  mayHaveRun: () => boolean;
  /** Aborted when the request no longer needs a server. */
  signal: AbortSignal;
}

export class ServerSelection {
  /** Servers of new versions that were left for others; no stream may begin there yet. */
  private deferred: BackendServerEntry[] = [];

  constructor(private readonly options: ServerSelectionOptions) {}

  /**
   * Gives back what may not be used any more: the request became contained or suspected,
   * or the server unavailable, while the request waited.
   *
   * @param replacement a server that is chosen already
   */
  async select(replacement: ChosenServer | null): Promise<ServerChoice> {
    let chosen = replacement;
    for (;;) {
      const choice: ServerChoice = chosen ?? (await this.choose());
      if (choice.status === 'refused') {
        if (await this.restoreDeferred()) continue;
        return choice;
      }
      if ((await this.isRecorded(choice)) && this.maySend(choice)) {
        return choice;
      }
      this.options.chooser.release(choice);
      chosen = null;
    }
  }

  /**
   * Guards against a request that crashes one server after another when callers
   * resend it to other nodes under new ids.
   */
  private async choose(): Promise<ServerChoice> {
    const {guard, lease, chooser, makeAsk} = this.options;
    if (guard.isContained) return this.refuseContained();
    const error = await lease.acquire();
    if (error) return {status: 'refused', error};
    if (guard.isContained) return this.refuseContained();
    return chooser.choose(makeAsk());
  }

  /** Waits for the new versions where no server of another one can be had. */
  private async restoreDeferred(): Promise<boolean> {
    const {guard, version, excludedServers, signal} = this.options;
    const [first, ...others] = this.deferred;
    this.deferred = [];
    if (!first || signal.aborted || guard.isContained) return false;
    if (!(await version.waitUntilRecorded(first, signal))) return false;
    [first, ...others].forEach(({id}) => excludedServers.delete(id));
    return !signal.aborted;
  }

  /** Excludes a server whose software version is not recorded in time. */
  private async isRecorded({server}: ChosenServer): Promise<boolean> {
    const {version, excludedServers, signal} = this.options;
    if (version.mayBeginAt(server)) return true;
    if (!version.mayBeginSoonAt(server)) {
      excludedServers.add(server.id);
      this.deferred.push(server);
      return false;
    }
    const isRecorded = await version.waitUntilRecorded(server, signal);
    if (!isRecorded && !signal.aborted) excludedServers.add(server.id);
    return isRecorded || signal.aborted;
  }

  /** A choice of an aborted request is given back by its run. */
  private maySend({server}: ChosenServer): boolean {
    const {guard, lease, gate, signal} = this.options;
    if (signal.aborted) return true;
    return !guard.isContained && !lease.isNeeded && gate.allows(server);
  }

  private refuseContained(): ServerChoice {
    const {guard, mayHaveRun} = this.options;
    const error = makeContainedError(guard.containedSuspects, mayHaveRun());
    return {status: 'refused', error};
  }
}
