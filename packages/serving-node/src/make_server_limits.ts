/** Creates the table of the limits that servers name, with its log lines. */
import {ServerLimits} from '@mimosatack/share-limits';
import {type ServingNodeOptions} from './serving_node_options.js';

export function makeServerLimits({
  clock,
  logger,
}: Pick<ServingNodeOptions, 'clock' | 'logger'>): ServerLimits {
  return new ServerLimits({
    clock,
    onChange: ({serverId, ...rates}) =>
      logger.log('server-limit-changed', {
        ...{backendServerId: serverId, ...rates},
      }),
    onInvalid: backendServerId =>
      logger.log('server-limit-invalid', {backendServerId}),
  });
}
