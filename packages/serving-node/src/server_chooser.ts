/** Builds the choosers of one node. */
import {
  PermitClient,
  ScheduledChooser,
  type ToHolderMessage,
} from '@mimosatack/schedule-service';
import {LeastLoadedChooser} from '@mimosatack/serve-requests';
import {type ServerLimiter} from '@mimosatack/share-limits';
import {type TeamQuotas} from '@mimosatack/team-quotas';
import {type ServerAvailability} from '@mimosatack/track-availability';
import {type ServerFollower} from './server_follower.js';
import {type ServingNodeOptions} from './serving_node_options.js';
import {logQuotaRefusal} from './team_tasks.js';

export interface ServerChooserOptions extends Pick<
  ServingNodeOptions,
  'clock' | 'random' | 'settings' | 'logger'
> {
  /** Unique to this process among all nodes. */
  incarnation: string;
  servers: Pick<ServerFollower, 'find' | 'listReady'>;
  /** Spends this host's share while no scheduling node answers. */
  limiter: ServerLimiter;
  availability: ServerAvailability;
  quotas: TeamQuotas;
  /** Whether teams have shares in scarce capacity. */
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
  const {sendToHolder, quotas, limiter, incarnation} = options;
  const asks = {clock, sendToHolder, askIdPrefix: incarnation};
  const permits = new PermitClient({...asks, limiter});
  return new ScheduledChooser({
    ...asks,
    ...{permits, availability, quotas},
    local: new LeastLoadedChooser({
      ...{clock, random, permits, availability},
      ownDomain: settings.failureDomain,
      listServers: service => servers.listReady(service),
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
