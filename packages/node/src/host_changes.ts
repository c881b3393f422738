/** What the platform's host list says that the agreed state does not. */
import {type BackendServer, type Stewardship} from '@mimosatack/agreed-state';
import {type BackendServerId, type HostEntry} from '@mimosatack/types';

/** Differences between a host list and the agreed state. */
export interface HostChanges {
  /** Backend servers that are new, or whose address or place changed. */
  changed: HostEntry[];
  /** Backend servers whose host leaves, or stays after all. */
  moved: {backendServerId: BackendServerId; isLeaving: boolean}[];
  /** Backend servers that the list lacks. */
  missing: BackendServerId[];
}

/** Compares a host list with the agreed state. */
export function findHostChanges(
  hosts: readonly HostEntry[],
  stewardship: Stewardship,
): HostChanges {
  const backends = hosts.filter(host => host.role !== 'entry');
  const listed = new Set(backends.map(host => host.hostId));
  return {
    changed: backends.filter(host => {
      const known = stewardship.findBackendServer(host.hostId);
      return !known || !isSameHost(known, host);
    }),
    moved: backends
      .filter(host => stewardship.findBackendServer(host.hostId))
      .map(host => ({
        backendServerId: host.hostId,
        isLeaving: host.state === 'leaving',
      }))
      .filter(
        ({backendServerId, isLeaving}) =>
          stewardship.isLeaving(backendServerId) !== isLeaving,
      ),
    missing: stewardship
      .listBackendServers()
      .map(server => server.backendServerId)
      .filter(id => !listed.has(id)),
  };
}

/**
 * Whether a list lacks so much that it was probably cut short: taking it at
 * its word would drop most decided replicas in a moment.
 */
export function isCutShort(
  changes: HostChanges,
  stewardship: Stewardship,
): boolean {
  const known = stewardship.listBackendServers().length;
  return changes.missing.length > 1 && changes.missing.length * 2 > known;
}

function isSameHost(server: BackendServer, host: HostEntry): boolean {
  return (
    server.baseUrl === host.baseUrl &&
    server.pool === host.pool &&
    server.failureDomain === host.failureDomain &&
    server.region === host.region
  );
}
