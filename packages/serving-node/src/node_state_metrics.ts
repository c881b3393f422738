/** Sets the gauges of one node when its metrics are scraped. */
import {type PrometheusMetrics} from '@mimosatack/metrics';
import {type TeamLevel} from '@mimosatack/team-quotas';

export interface NodeStateGauges {
  configurationVersion: number;
  servers: number;
  serversAgeMs: number;
  serversLimited: number;
  serversLeaving: number;
  serversPaused: number;
  modelsUnserved: number;
  modelsWithoutCopy: number;
  modelsWithOneCopy: number;
  placesServices: number;
  placesLimit: number;
  placesTaken: number;
  isCutOff: boolean;
  openRelays: number;
  dutiesHeld: number;
  containedRequests: number;
  containedParts: number;
  suspected: number;
  knownStreams: number;
  mixedServices: number;
  configurationAgeMs: number;
  retryShare: number;
  memoryHeldBytes: number;
  memoryLimitBytes: number;
  teams: readonly TeamLevel[];
}

export function recordNodeState(
  metrics: PrometheusMetrics,
  figures: NodeStateGauges,
): void {
  metrics.gauge('configuration.version', figures.configurationVersion, {});
  metrics.gauge('configuration.age_ms', figures.configurationAgeMs, {});
  figures.teams.forEach(({team, ratePerSecond, level, unsettled}) => {
    metrics.gauge('quotas.rate', ratePerSecond, {team});
    metrics.gauge('quotas.level', level, {team});
    metrics.gauge('quotas.unsettled', unsettled, {team});
  });
  metrics.gauge('servers.known', figures.servers, {});
  metrics.gauge('servers.limited', figures.serversLimited, {});
  metrics.gauge('servers.leaving', figures.serversLeaving, {});
  metrics.gauge('servers.paused', figures.serversPaused, {});
  metrics.gauge('schedule.unserved', figures.modelsUnserved, {});
  metrics.gauge('schedule.models_without_copy', figures.modelsWithoutCopy, {});
  metrics.gauge('schedule.models_with_one_copy', figures.modelsWithOneCopy, {});
  metrics.gauge('places.services', figures.placesServices, {});
  metrics.gauge('places.limit', figures.placesLimit, {});
  metrics.gauge('places.taken', figures.placesTaken, {});
  metrics.gauge('servers.cut_off', figures.isCutOff ? 1 : 0, {});
  metrics.gauge('servers.relays', figures.openRelays, {});
  metrics.gauge('servers.age_ms', figures.serversAgeMs, {});
  metrics.gauge('retries.share', figures.retryShare, {});
  metrics.gauge('memory.held_bytes', figures.memoryHeldBytes, {});
  metrics.gauge('memory.limit_bytes', figures.memoryLimitBytes, {});
  metrics.gauge('duties.held', figures.dutiesHeld, {});
  metrics.gauge('containment.contained', figures.containedRequests, {});
  metrics.gauge('containment.contained_parts', figures.containedParts, {});
  metrics.gauge('containment.suspected', figures.suspected, {});
  metrics.gauge('streams.known', figures.knownStreams, {});
  metrics.gauge('streams.mixed_services', figures.mixedServices, {});
  metrics.gauge('process.resident_bytes', process.memoryUsage.rss(), {});
}
