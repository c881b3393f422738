/** The software versions at which the servers of each service run, or ran lately. */
import {type Clock} from '@mimosatack/clock';
import {type BackendServerEntry, type ServiceName} from '@mimosatack/types';
import {STREAM_MEMORY_MS} from './stream_origin_table.js';
import {type RecordedVersions} from './version_record.js';

type VersionedServer = Pick<BackendServerEntry, 'service' | 'softwareVersion'>;

/** Stands for versions whose names are not known. */
const UNKNOWN_VERSION = '';

export interface ServiceVersionsOptions {
  clock: Clock;
  /** Whether no stream can have begun before this process started. */
  isFirstStart: boolean;
  /** Called when a service becomes mixed. */
  onMixed: (service: ServiceName) => void;
}

/** A service counts as mixed until no stream of an earlier version can be resumed. */
export class ServiceVersions {
  /** When each version was last listed, by service. */
  private readonly listedAtMs = new Map<ServiceName, Map<string, number>>();
  /** The record in the store, which outlives all hosts; null until it was read. */
  private recorded: RecordedVersions | null = null;
  private readonly startedAtMs: number;

  constructor(private readonly options: ServiceVersionsOptions) {
    this.startedAtMs = options.clock.monotonicMs();
  }

  /** Has to be called periodically, and after each change of the servers. */
  update(servers: readonly VersionedServer[]): void {
    this.removeOld();
    servers.forEach(({service, softwareVersion}) =>
      this.noteVersion(service, softwareVersion),
    );
  }

  /**
   * Applies the record in the store; empty if there is none.
   *
   * @param isFromCopy whether later records may be lost, since the store came back
   */
  applyRecord(services: RecordedVersions, isFromCopy: boolean): void {
    this.recorded = services;
    services.forEach((versions, service) =>
      [...versions, ...(isFromCopy ? [UNKNOWN_VERSION] : [])]
        .filter(version => !this.listedAtMs.get(service)?.has(version))
        .forEach(version => this.noteVersion(service, version)),
    );
  }

  /** Whether the record in the store was read, or it is known that there is none. */
  get isRecordKnown(): boolean {
    return this.recorded !== null;
  }

  /**
   * Whether a stream may begin at the version. Hosts that all restart at once believe the
   * record, so that it has to name a version before the first event of a stream.
   */
  mayBegin(service: ServiceName, version: string): boolean {
    const versions = this.recorded?.get(service);
    if (!versions) return this.recorded !== null;
    return versions.includes(version) || versions.includes(UNKNOWN_VERSION);
  }

  /** The record that should be in the store. */
  listForRecord(): RecordedVersions {
    return new Map(
      [...this.listedAtMs]
        .map(([service, versions]) => {
          const unknown = this.isHistoryKnown(service) ? [] : [UNKNOWN_VERSION];
          const names = new Set([...versions.keys(), ...unknown]);
          return [service, [...names].sort()] as const;
        })
        .sort(([one], [other]) => (one < other ? -1 : 1)),
    );
  }

  listMixed(): ServiceName[] {
    return [...this.listedAtMs.keys()]
      .filter(service => this.isMixed(service))
      .sort();
  }

  isMixed(service: ServiceName): boolean {
    const versions = this.listedAtMs.get(service);
    if (!versions) return false;
    return versions.size > 1 || versions.has(UNKNOWN_VERSION);
  }

  /** The only version of a service; null if it is mixed or earlier ones are not known. */
  findOnly(service: ServiceName): string | null {
    if (this.isMixed(service) || !this.isHistoryKnown(service)) return null;
    const [only = null] = this.listedAtMs.get(service)?.keys() ?? [];
    return only;
  }

  /**
   * Whether every version is known at which a stream may have begun that is still resumed:
   * by the record, or since this process has listed the servers for long enough.
   */
  private isHistoryKnown(service: ServiceName): boolean {
    const {clock, isFirstStart} = this.options;
    const upForMs = clock.monotonicMs() - this.startedAtMs;
    if (upForMs >= STREAM_MEMORY_MS) return true;
    if (!this.recorded) return false;
    return isFirstStart || this.recorded.has(service);
  }

  private noteVersion(service: ServiceName, version: string): void {
    const {clock, onMixed} = this.options;
    const wasMixed = this.isMixed(service);
    const versions = this.listedAtMs.get(service) ?? new Map<string, number>();
    this.listedAtMs.set(service, versions);
    versions.set(version, clock.monotonicMs());
    if (!wasMixed && this.isMixed(service)) onMixed(service);
  }

  private removeOld(): void {
    const oldestMs = this.options.clock.monotonicMs() - STREAM_MEMORY_MS;
    this.listedAtMs.forEach((versions, service) => {
      versions.forEach((listedMs, version) => {
        if (listedMs <= oldestMs) versions.delete(version);
      });
      if (versions.size === 0) this.listedAtMs.delete(service);
    });
  }
}
