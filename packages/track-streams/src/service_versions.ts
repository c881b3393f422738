/** The software versions at which the servers of each service run, or ran lately. */
import {type Clock} from '@mimosatack/clock';
import {type BackendServerEntry, type ServiceName} from '@mimosatack/types';
import {STREAM_MEMORY_MS} from './stream_origin_table.js';
import {VERSION_LEASE_MS} from './version_lease.js';
import {type RecordedVersions} from './version_record.js';

type VersionedServer = Pick<BackendServerEntry, 'service' | 'softwareVersion'>;

/** Stands for versions whose names are not known. */
const UNKNOWN_VERSION = '';

/** When a version was known to this process, on the monotonic clock. */
interface KnownTimes {
  firstMs: number;
  lastMs: number;
}

export interface ServiceVersionsOptions {
  clock: Clock;
  /** Whether no stream can have begun before this process started. */
  isFirstStart: boolean;
  /** Called when a service becomes mixed. */
  onMixed: (service: ServiceName) => void;
}

/** A service counts as mixed until no stream of an earlier version can be resumed. */
export class ServiceVersions {
  /** The versions of each service that were listed, or recorded, lately. */
  private readonly known = new Map<ServiceName, Map<string, KnownTimes>>();
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
        .filter(version => !this.known.get(service)?.has(version))
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
    if (!this.recorded) return false;
    const names = this.recorded.get(service);
    return names ? names.includes(version) : !this.isMixed(service);
  }

  /** Time until the record may name the version, by what this host knows. */
  findLeaseMs(service: ServiceName, version: string): number {
    const times = this.known.get(service)?.get(version);
    if (!times || this.isNameable(service, version, times)) return 0;
    const {clock} = this.options;
    return times.firstMs + VERSION_LEASE_MS - clock.monotonicMs();
  }

  /** Time until the record may name a further version; null if none waits. */
  get nextLeaseMs(): number | null {
    const leases = [...this.known]
      .flatMap(([service, versions]) =>
        [...versions.keys()].map(name => this.findLeaseMs(service, name)),
      )
      .filter(leaseMs => leaseMs > 0);
    return leases.length === 0 ? null : Math.min(...leases);
  }

  /** The record that should be in the store. */
  listForRecord(): RecordedVersions {
    return new Map(
      [...this.known]
        .map(([service, versions]) => {
          const nameable = [...versions]
            .filter(([name, times]) => this.isNameable(service, name, times))
            .map(([name]) => name);
          const unknown = this.isHistoryKnown(service) ? [] : [UNKNOWN_VERSION];
          const names = new Set([...nameable, ...unknown]);
          return [service, [...names].sort()] as const;
        })
        .filter(([, names]) => names.length > 0)
        .sort(([one], [other]) => (one < other ? -1 : 1)),
    );
  }

  /**
   * Whether the record may name the version, so that streams begin at it. What comes beside
   * another version has to wait until no host believes a list from before; see
   * `VERSION_LEASE_MS`. No host believes an only version of a service that is not recorded.
   */
  private isNameable(
    service: ServiceName,
    version: string,
    {firstMs}: KnownTimes,
  ): boolean {
    const names = this.recorded?.get(service);
    if (version === UNKNOWN_VERSION || names?.includes(version)) return true;
    const ageMs = this.options.clock.monotonicMs() - firstMs;
    if (ageMs >= VERSION_LEASE_MS) return true;
    return !names && firstMs === this.findFirstMs(service);
  }

  /** When the first of the known versions of a service became known. */
  private findFirstMs(service: ServiceName): number {
    const times = [...(this.known.get(service)?.values() ?? [])];
    return Math.min(...times.map(({firstMs}) => firstMs));
  }

  listMixed(): ServiceName[] {
    return [...this.known.keys()]
      .filter(service => this.isMixed(service))
      .sort();
  }

  isMixed(service: ServiceName): boolean {
    const versions = this.known.get(service);
    if (!versions) return false;
    return versions.size > 1 || versions.has(UNKNOWN_VERSION);
  }

  /** The only version of a service; null if it is mixed or earlier ones are not known. */
  findOnly(service: ServiceName): string | null {
    if (this.isMixed(service) || !this.isHistoryKnown(service)) return null;
    const [only = null] = this.known.get(service)?.keys() ?? [];
    return only !== null && this.isNamed(service, only) ? only : null;
  }

  /**
   * Whether the record names this version alone, or no version of any service yet. Before it
   * does, streams may have begun at another version that came at the same time. A host that
   * stood still has forgotten versions that the record still names.
   */
  private isNamed(service: ServiceName, version: string): boolean {
    const {recorded} = this;
    if (!recorded || (this.options.isFirstStart && recorded.size === 0)) {
      return true;
    }
    return recorded.get(service)?.every(name => name === version) ?? false;
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
    const versions = this.known.get(service) ?? new Map<string, KnownTimes>();
    this.known.set(service, versions);
    const lastMs = clock.monotonicMs();
    const firstMs = versions.get(version)?.firstMs ?? lastMs;
    versions.set(version, {firstMs, lastMs});
    if (!wasMixed && this.isMixed(service)) onMixed(service);
  }

  private removeOld(): void {
    const oldestMs = this.options.clock.monotonicMs() - STREAM_MEMORY_MS;
    this.known.forEach((versions, service) => {
      versions.forEach(({lastMs}, version) => {
        if (lastMs <= oldestMs) versions.delete(version);
      });
      if (versions.size === 0) this.known.delete(service);
    });
  }
}
