/** Builds the choosers of one node. */
import {
  PermitClient,
  PressureReporter,
  ScheduledChooser,
  type ToHolderMessage,
} from '@mimosatack/schedule-service';
import {LeastLoadedChooser, SpillWatch} from '@mimosatack/serve-requests';
import {type ServerLimiter} from '@mimosatack/share-limits';
import {type TeamQuotas} from '@mimosatack/team-quotas';
import {type ServerAvailability} from '@mimosatack/track-availability';
import {type ServerFollower} from './server_follower.js';
import {type ServingNodeOptions} from './serving_node_options.js';
import {logQuotaRefusal} from './team_tasks.js';

export interface ServerChooserOptions extends Pick<
  ServingNodeOptions,
  'clock' | 'random' | 'settings' | 'logger' | 'metrics'
> {
  /** Unique to this process among all nodes. */
  incarnation: string;
  servers: Pick<ServerFollower, 'find' | 'listReady'>;
  /** Spends this host's share while no scheduling node answers. */
  limiter: ServerLimiter;
  availability: ServerAvailability;
  quotas: TeamQuotas;
  /** The fraction of what all hosts may do that this one may, from 0 to 1. */
  findHostShare: () => number;
  /** Whether teams share capacity. */
  hasTeamShares: () => boolean;
  countNodes: () => number;
  /** Returns false when no scheduling node is known. */
  sendToHolder: (message: ToHolderMessage) => boolean;
}

/** A chooser that asks the scheduling node, and its own for all other requests. */
export function makeServerChooser(
  options: ServerChooserOptions,
): ScheduledChooser {
  const {clock, random, settings, logger, servers, availability} = options;
  const {sendToHolder, quotas, limiter, incarnation, metrics} = options;
  const {failureDomain, crossDomainCostMs} = settings;
  const asks = {clock, sendToHolder, askIdPrefix: incarnation};
  const permits = new PermitClient({...asks, limiter});
  const spill = new SpillWatch(({windowMs, ...change}) =>
    logger.log('service-spill-changed', {
      ...change,
      ...{windowMs: Math.round(windowMs), crossDomainCostMs},
    }),
  );
  return new ScheduledChooser({
    ...asks,
    pressure: new PressureReporter(options),
    ...{permits, availability, quotas},
    local: new LeastLoadedChooser({
      ...{clock, random, permits, availability},
      findHostShare: options.findHostShare,
      ...{ownDomain: failureDomain, crossDomainCostMs},
      listServers: service => servers.listReady(service),
      onSent: ({server, askId}, isSameDomain) => {
        metrics.count('attempts.sent', {isSameDomain: String(isSameDomain)});
        // The scheduling node assigns engines by the models that they hold.
        if (askId !== null) return;
        spill.recordSent(server.service, isSameDomain, clock.monotonicMs());
      },
    }),
    findServer: id => servers.find(id),
    findLocalLimit: service => {
      if (!options.hasTeamShares()) return null;
      const slots = servers
        .listReady(service)
        .reduce((sum, server) => sum + server.slots, 0);
      return Math.ceil(slots / Math.max(1, options.countNodes()));
    },
    areAllLeaving: service => {
      const ready = servers.listReady(service);
      return (
        ready.length > 0 && ready.every(one => availability.isLeaving(one))
      );
    },
    onQuotaRefused: (requestId, charge, refusal) =>
      logQuotaRefusal(logger, requestId, charge, refusal),
  });
}
