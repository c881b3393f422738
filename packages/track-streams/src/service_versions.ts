/** The software versions at which the servers of each service run, or ran lately. */
import {type Clock} from '@mimosatack/clock';
import {type BackendServerEntry, type ServiceName} from '@mimosatack/types';
import {STREAM_MEMORY_MS} from './stream_origin_table.js';

type VersionedServer = Pick<BackendServerEntry, 'service' | 'softwareVersion'>;

/** Stands for versions that the record in the store tells of without their names. */
const RECORDED_VERSION = '';

/** A service counts as mixed until no stream of an earlier version can be resumed. */
export class ServiceVersions {
  /** When each version was last listed, by service. */
  private readonly listedAtMs = new Map<ServiceName, Map<string, number>>();

  /** @param onMixed called when a service becomes mixed. */
  constructor(
    private readonly clock: Clock,
    private readonly onMixed: (service: ServiceName) => void,
  ) {}

  /** Has to be called periodically, and after each change of the servers. */
  update(servers: readonly VersionedServer[]): void {
    this.removeOld();
    servers.forEach(({service, softwareVersion}) =>
      this.noteListed(service, softwareVersion),
    );
  }

  /** Applies the record in the store, which outlives all hosts. */
  applyRecorded(services: readonly ServiceName[]): void {
    services.forEach(service => this.noteListed(service, RECORDED_VERSION));
  }

  listMixed(): ServiceName[] {
    return [...this.listedAtMs.keys()]
      .filter(service => this.isMixed(service))
      .sort();
  }

  isMixed(service: ServiceName): boolean {
    const versions = this.listedAtMs.get(service);
    if (!versions) return false;
    return versions.size > 1 || versions.has(RECORDED_VERSION);
  }

  /** The only version of a service; null if it is mixed or none is known. */
  findOnly(service: ServiceName): string | null {
    if (this.isMixed(service)) return null;
    const [only = null] = this.listedAtMs.get(service)?.keys() ?? [];
    return only;
  }

  private noteListed(service: ServiceName, version: string): void {
    const wasMixed = this.isMixed(service);
    const versions = this.listedAtMs.get(service) ?? new Map<string, number>();
    this.listedAtMs.set(service, versions);
    versions.set(version, this.clock.monotonicMs());
    if (!wasMixed && this.isMixed(service)) this.onMixed(service);
  }

  private removeOld(): void {
    const oldestMs = this.clock.monotonicMs() - STREAM_MEMORY_MS;
    this.listedAtMs.forEach((versions, service) => {
      versions.forEach((listedMs, version) => {
        if (listedMs <= oldestMs) versions.delete(version);
      });
      if (versions.size === 0) this.listedAtMs.delete(service);
    });
  }
}
