export {type SettingDefinition, type SocketAddress} from './definition.js';
export {type FaultProblem, type SettingFault} from './fault.js';
export {
  formatSettings,
  formatSettingsAsMarkdown,
  formatUsage,
  redactSettings,
} from './format_settings.js';
export {parseSettings} from './parse_settings.js';
export {
  type DaemonSettings,
  SETTING_NAMES,
  SETTING_SCHEMA,
  type SettingName,
  type WarmingPolicy,
} from './schema.js';
export {type Environment} from './sources.js';
