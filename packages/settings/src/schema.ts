/** The schema of all settings, and the typed settings that follow from it. */
import {type SettingDefinition, type SettingValues} from './definition.js';
import {
  OPERATION_SETTINGS,
  PEER_SETTINGS,
  PLATFORM_SETTINGS,
} from './groups/cluster_settings.js';
import {NODE_SETTINGS} from './groups/node_settings.js';
import {REQUEST_SETTINGS, WARMING_SETTINGS} from './groups/serving_settings.js';

/** Every setting, by name. */
export const SETTING_SCHEMA = {
  ...NODE_SETTINGS,
  ...PLATFORM_SETTINGS,
  ...PEER_SETTINGS,
  ...OPERATION_SETTINGS,
  ...REQUEST_SETTINGS,
  ...WARMING_SETTINGS,
} as const satisfies Record<string, SettingDefinition>;

type Schema = typeof SETTING_SCHEMA;

/** The name of a setting, as in its flag without the hyphens in front. */
export type SettingName = keyof Schema;

/** All names, in the order of the schema. */
export const SETTING_NAMES = Object.keys(
  SETTING_SCHEMA,
) as readonly SettingName[];

/** The settings as they are described together. */
export const SETTING_GROUPS = [
  {title: 'The node', names: namesOf(NODE_SETTINGS)},
  {title: 'The platform', names: namesOf(PLATFORM_SETTINGS)},
  {title: 'Other nodes', names: namesOf(PEER_SETTINGS)},
  {title: 'Operation', names: namesOf(OPERATION_SETTINGS)},
  {title: 'Requests', names: namesOf(REQUEST_SETTINGS)},
  {title: 'Warming', names: namesOf(WARMING_SETTINGS)},
] as const;

type CamelCase<S extends string> = S extends `${infer Head}-${infer Tail}`
  ? `${Head}${Capitalize<CamelCase<Tail>>}`
  : S;

type ValueOf<D extends SettingDefinition> = D extends {
  choices: ReadonlyArray<infer Choice>;
}
  ? Choice
  : SettingValues[D['type']];

type ValueInForce<D extends SettingDefinition> = D extends
  {required: true} | {default: string} | {defaultFrom: string}
  ? ValueOf<D>
  : ValueOf<D> | undefined;

/** The settings of a daemon: `log-url` becomes `logUrl`. */
export type DaemonSettings = {
  readonly [N in SettingName as CamelCase<N>]: ValueInForce<Schema[N]>;
};

/** The name of a setting as a field of `DaemonSettings`. */
export type SettingKey = keyof DaemonSettings;

/** When the replicas for an event are loaded. */
export type WarmingPolicy = DaemonSettings['warmingPolicy'];

const ENVIRONMENT_PREFIX = 'MIMOSATACK_';

/** Looks a setting up in the schema. */
export function describeSetting(name: SettingName): SettingDefinition {
  return SETTING_SCHEMA[name];
}

/** The field of `DaemonSettings` that holds the setting. */
export function toKey(name: SettingName): SettingKey {
  return name.replace(/-(.)/g, (_match, letter: string) =>
    letter.toUpperCase(),
  ) as SettingKey;
}

/** The flag that gives the setting. */
export function toFlag(name: SettingName): string {
  return `--${name}`;
}

/** The environment variable that gives the setting. */
export function toVariable(name: SettingName): string {
  return ENVIRONMENT_PREFIX + name.replaceAll('-', '_').toUpperCase();
}

/** Whether an environment variable is meant for the daemon. */
export function isOwnVariable(variable: string): boolean {
  return variable.startsWith(ENVIRONMENT_PREFIX);
}

function namesOf<N extends SettingName>(
  definitions: Record<N, SettingDefinition>,
): readonly N[] {
  return Object.keys(definitions) as N[];
}
