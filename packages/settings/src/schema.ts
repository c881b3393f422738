/** The schema of all settings and the types derived from it. */
import {type SettingDefinition, type SettingValues} from './definition.js';
import {
  OPERATION_SETTINGS,
  PEER_SETTINGS,
  PLATFORM_SETTINGS,
} from './groups/cluster_settings.js';
import {NODE_SETTINGS} from './groups/node_settings.js';
import {REQUEST_SETTINGS, WARMING_SETTINGS} from './groups/serving_settings.js';

export const SETTING_SCHEMA = {
  ...NODE_SETTINGS,
  ...PLATFORM_SETTINGS,
  ...PEER_SETTINGS,
  ...OPERATION_SETTINGS,
  ...REQUEST_SETTINGS,
  ...WARMING_SETTINGS,
} as const satisfies Record<string, SettingDefinition>;

type Schema = typeof SETTING_SCHEMA;

/** The name of a setting: its flag without the leading hyphens. */
export type SettingName = keyof Schema;

export const SETTING_NAMES = Object.keys(
  SETTING_SCHEMA,
) as readonly SettingName[];

/** Setting names by section of the help text and documentation. */
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

type EffectiveValue<D extends SettingDefinition> = D extends
  {required: true} | {default: string} | {defaultFrom: string}
  ? ValueOf<D>
  : ValueOf<D> | undefined;

/** The settings of a daemon, in camel case: `log-url` becomes `logUrl`. */
export type DaemonSettings = {
  readonly [N in SettingName as CamelCase<N>]: EffectiveValue<Schema[N]>;
};

export type SettingKey = keyof DaemonSettings;

/** When the replicas for an event are loaded. */
export type WarmingPolicy = DaemonSettings['warmingPolicy'];

const ENVIRONMENT_PREFIX = 'MIMOSATACK_';

export function describeSetting(name: SettingName): SettingDefinition {
  return SETTING_SCHEMA[name];
}

/** Converts a setting name to its `DaemonSettings` key. */
export function toKey(name: SettingName): SettingKey {
  return name.replace(/-(.)/g, (_match, letter: string) =>
    letter.toUpperCase(),
  ) as SettingKey;
}

export function toFlag(name: SettingName): string {
  return `--${name}`;
}

/** Converts a setting name to its environment variable. */
export function toVariable(name: SettingName): string {
  return ENVIRONMENT_PREFIX + name.replaceAll('-', '_').toUpperCase();
}

export function hasDaemonPrefix(variable: string): boolean {
  return variable.startsWith(ENVIRONMENT_PREFIX);
}

function namesOf<N extends SettingName>(
  definitions: Record<N, SettingDefinition>,
): readonly N[] {
  return Object.keys(definitions) as N[];
}
