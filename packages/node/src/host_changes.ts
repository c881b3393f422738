/** Compares the platform's host list with the agreed state. */
import {type BackendServer, type Stewardship} from '@mimosatack/agreed-state';
import {type BackendServerId, type HostEntry} from '@mimosatack/types';

export interface HostChanges {
  /**
   * Backend servers that are new, or whose address, pool or location changed.
   */
  changed: HostEntry[];
  /** Backend servers whose host is newly leaving, or no longer leaving. */
  stateChanged: {backendServerId: BackendServerId; isLeaving: boolean}[];
  /** Registered backend servers that the list does not name. */
  missing: BackendServerId[];
}

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
    stateChanged: backends
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
 * Guards against a truncated list, which would remove most decided replicas at
 * once.
 */
export function isLikelyTruncated(
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
