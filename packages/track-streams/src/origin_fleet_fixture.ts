/** A fleet of hosts that share the origins of streams over lossy links. */
import {ManualClock} from '@mimosatack/clock';
import {type BackendServerEntry} from '@mimosatack/types';
import {type StreamReply} from './stream_messages.js';
import {type RecordedVersions} from './version_record.js';
import {type StreamOrigin} from './stream_origin.js';
import {type OriginAnswer, StreamOrigins} from './stream_origins.js';

export const SERVICE = 'writers';

interface FleetHost {
  nodeName: string;
  peerAddress: string;
  origins: StreamOrigins;
  isReachable: boolean;
  serversAgeMs: number;
}

type Server = Pick<BackendServerEntry, 'service' | 'softwareVersion'>;

export class OriginFleet {
  readonly clock = new ManualClock();
  readonly hosts: FleetHost[];
  /** What is in the store. */
  private record: RecordedVersions = new Map();
  /** Messages that were sent between hosts. */
  messageCount = 0;

  constructor(hostCount: number, versions: readonly string[]) {
    this.hosts = Array.from({length: hostCount}, (_, at) => this.makeHost(at));
    this.writeRecord();
    this.setVersions(versions);
    this.writeRecord();
  }

  /** All hosts see servers of the versions. */
  setVersions(versions: readonly string[]): void {
    this.hosts.forEach(({origins}) =>
      origins.updateServers(toServers(versions)),
    );
  }

  setVersionsOf(at: number, versions: readonly string[]): void {
    this.find(at).origins.updateServers(toServers(versions));
  }

  begin(at: number, requestId: string, softwareVersion: string): void {
    this.find(at).origins.record(
      {requestId, team: null},
      {service: SERVICE, softwareVersion},
    );
  }

  resume(at: number, requestId: string | null): Promise<OriginAnswer> {
    return this.find(at).origins.find({
      stream: requestId === null ? null : {requestId, team: null},
      service: SERVICE,
    });
  }

  async findVersion(at: number, requestId: string): Promise<string | null> {
    const {origin} = await this.resume(at, requestId);
    return origin?.softwareVersion ?? null;
  }

  setReachable(at: number, isReachable: boolean): void {
    this.find(at).isReachable = isReachable;
  }

  setServersAge(at: number, serversAgeMs: number): void {
    this.find(at).serversAgeMs = serversAgeMs;
  }

  /** Replaces the process of a host, which sees the versions. */
  restart(at: number, versions: readonly string[]): void {
    this.hosts[at] = this.makeHost(at, false);
    this.loadRecord(at);
    this.setVersionsOf(at, versions);
  }

  find(at: number): FleetHost {
    const host = this.hosts[at];
    if (!host) throw new Error(`There is no host ${at}.`);
    return host;
  }

  /** Reads the record, as a host does when it starts. */
  loadRecord(at: number): void {
    this.find(at).origins.applyRecord(this.record, false);
  }

  /** Writes the record as the first host has it; all hosts read it. */
  writeRecord(): void {
    this.record = this.find(0).origins.versions.listForRecord();
    this.hosts.forEach((_, at) => this.loadRecord(at));
  }

  private makeHost(at: number, isFirstStart = true): FleetHost {
    const nodeName = `front-${at}`;
    const host: FleetHost = {
      ...{nodeName, peerAddress: nodeName, isReachable: true, serversAgeMs: 0},
      origins: new StreamOrigins({
        clock: this.clock,
        isFirstStart,
        listHosts: () =>
          this.hosts.filter(other => other.nodeName !== nodeName),
        serversAgeMs: () => host.serversAgeMs,
        send: (address, message) => {
          this.messageCount += 1;
          this.findReachable(host, address)?.origins.handleBegun(message);
        },
        ask: (address, ask): Promise<StreamReply | null> => {
          this.messageCount += 1;
          const other = this.findReachable(host, address);
          return Promise.resolve(other?.origins.handleAsk(ask) ?? null);
        },
      }),
    };
    return host;
  }

  private findReachable(from: FleetHost, address: string): FleetHost | null {
    const other = this.hosts.find(({peerAddress}) => peerAddress === address);
    return from.isReachable && other?.isReachable ? other : null;
  }
}

export function toOrigin(softwareVersion: string): StreamOrigin {
  return {service: SERVICE, softwareVersion};
}

function toServers(versions: readonly string[]): BackendServerEntry[] {
  const servers: Server[] = versions.map(toOrigin);
  return servers as BackendServerEntry[];
}
