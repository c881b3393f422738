/** Logs what backend servers say about whether they take requests. */
import {ServerAvailability} from '@mimosatack/track-availability';
import {type BackendServerId} from '@mimosatack/types';
import {type ServingNodeOptions} from './serving_node_options.js';

export function makeServerAvailability(
  {
    clock,
    random,
    logger,
  }: Pick<ServingNodeOptions, 'clock' | 'random' | 'logger'>,
  onChange: (serverId: BackendServerId) => void,
): ServerAvailability {
  return new ServerAvailability({
    ...{clock, random},
    onChange,
    onLeaving: backendServerId =>
      logger.log('server-leaving', {backendServerId}),
    onPaused: (backendServerId, pauseMs) =>
      logger.log('server-paused', {backendServerId, pauseMs}),
    onInvalid: (backendServerId, header) =>
      logger.log('server-availability-invalid', {backendServerId, header}),
  });
}
