import {
  ConfigurationFollower,
  type ConfigurationFollowerOptions,
} from './configuration_follower.js';
import {type FaultLog} from './fault_log.js';
import {type ServingNodeOptions} from './serving_node_options.js';

export interface ConfigurationParts
  extends
    Pick<ServingNodeOptions, 'clock' | 'random' | 'platform' | 'settings'>,
    Pick<
      ConfigurationFollowerOptions,
      'isReader' | 'findRank' | 'onConfiguration'
    > {
  faults: FaultLog;
}

/** Follows the configuration under the bounds that the settings name. */
export function makeConfiguration({
  faults,
  settings,
  ...parts
}: ConfigurationParts): ConfigurationFollower {
  return new ConfigurationFollower({
    ...parts,
    revokeMs: () => settings.revokeMs,
    applyMs: () => settings.configurationApplyMs,
    ...faults.watchEntries('configuration'),
    ...faults.watchDependency('configuration'),
  });
}
