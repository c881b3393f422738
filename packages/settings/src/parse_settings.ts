/** Parses and validates the settings of the daemon. */
import {TypedError} from '@mimosatack/errors';
import {type PartialSettings, findContradictions} from './contradictions.js';
import {type SettingValue} from './definition.js';
import {type SettingFault} from './fault.js';
import {
  type DaemonSettings,
  SETTING_NAMES,
  type SettingName,
  describeSetting,
  toFlag,
  toKey,
  toVariable,
} from './schema.js';
import {
  type Environment,
  type SourceText,
  readEnvironment,
  readFlags,
} from './sources.js';
import {type Rejection, createReader} from './value_readers.js';

type SettingTexts = ReadonlyMap<SettingName, SourceText>;

interface ParsedSetting {
  name: SettingName;
  value?: SettingValue;
  fault?: SettingFault;
}

/**
 * Parses the settings; a flag takes precedence over its variable.
 *
 * @param argv the arguments after the program name.
 * @throws TypedError `bad-request` with all faults, in the message and as
 *     `SettingFault[]` in `details.info.faults`.
 */
export function parseSettings(
  argv: readonly string[],
  env: Environment,
): DaemonSettings {
  const flags = readFlags(argv);
  const variables = readEnvironment(env);
  const given = new Map([...variables.given, ...flags.given]);
  const parsedSettings = SETTING_NAMES.map(name => readSetting(name, given));
  const settings = collectValues(parsedSettings);
  const faults = [
    ...flags.faults,
    ...variables.faults,
    ...parsedSettings.flatMap(({fault}) => fault ?? []),
    ...findContradictions(settings),
  ];
  if (faults.length > 0) throw createFaultsError(faults);
  return settings as DaemonSettings;
}

function readSetting(name: SettingName, given: SettingTexts): ParsedSetting {
  const definition = describeSetting(name);
  const source = resolveText(name, given);
  if (!source) return definition.required ? reportMissingSetting(name) : {name};
  const result = createReader(definition).read(source.text);
  if ('value' in result) return {name, value: result.value};
  // An inherited value is reported only as a fault of its own setting.
  const isInherited = !given.has(name) && definition.defaultFrom !== undefined;
  return isInherited
    ? {name}
    : {name, fault: rejectionToFault(name, source, result.rejection)};
}

function resolveText(
  name: SettingName,
  given: SettingTexts,
): SourceText | undefined {
  const definition = describeSetting(name);
  const own = given.get(name);
  if (own) return own;
  if (definition.defaultFrom !== undefined) {
    return resolveText(definition.defaultFrom as SettingName, given);
  }
  return definition.default === undefined
    ? undefined
    : {label: `the default of ${toFlag(name)}`, text: definition.default};
}

function collectValues(
  parsedSettings: readonly ParsedSetting[],
): PartialSettings {
  return Object.fromEntries(
    parsedSettings.map(({name, value}) => [toKey(name), value]),
  );
}

function reportMissingSetting(name: SettingName): ParsedSetting {
  const {description} = describeSetting(name);
  const fault: SettingFault = {
    problem: 'missing',
    settings: [toFlag(name)],
    message: `${toFlag(name)} is missing. ${description}`,
    remedy: `Give ${toFlag(name)} or ${toVariable(name)}.`,
  };
  return {name, fault};
}

function rejectionToFault(
  name: SettingName,
  {label, text}: SourceText,
  {problem, reason, remedy}: Rejection,
): SettingFault {
  const {secret, type} = describeSetting(name);
  // Secrets and URLs, which may contain a password, are not shown.
  const shown = secret || type === 'url' ? 'its value' : `"${text}"`;
  const message = `${label}: ${shown} ${reason}.`;
  return {problem, settings: [label], message, remedy};
}

function createFaultsError(faults: readonly SettingFault[]): TypedError {
  const count =
    faults.length === 1 ? 'is 1 fault' : `are ${faults.length} faults`;
  const lines = faults.map(({message, remedy}) => `  ${message} ${remedy}`);
  return new TypedError(
    'bad-request',
    [`There ${count} in the settings:`, ...lines].join('\n'),
    {remedy: 'Correct all the faults listed.', info: {faults}},
  );
}
