/** Reads and checks all settings of the daemon. */
import {TypedError} from '@mimosatack/errors';
import {type ReadSettings, findContradictions} from './contradictions.js';
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
  type GivenText,
  readEnvironment,
  readFlags,
} from './sources.js';
import {type Rejection, createReader} from './value_readers.js';

type GivenTexts = ReadonlyMap<SettingName, GivenText>;

interface Reading {
  name: SettingName;
  value?: SettingValue;
  fault?: SettingFault;
}

/**
 * Reads the settings; a flag wins over the environment variable.
 *
 * @param argv the arguments after the program's name.
 * @throws TypedError `bad-request` that tells all faults at once, in its
 *     message and as `SettingFault[]` in `details.info.faults`.
 */
export function parseSettings(
  argv: readonly string[],
  env: Environment,
): DaemonSettings {
  const flags = readFlags(argv);
  const variables = readEnvironment(env);
  const given = new Map([...variables.given, ...flags.given]);
  const readings = SETTING_NAMES.map(name => readSetting(name, given));
  const settings = collectValues(readings);
  const faults = [
    ...flags.faults,
    ...variables.faults,
    ...readings.flatMap(({fault}) => fault ?? []),
    ...findContradictions(settings),
  ];
  if (faults.length > 0) throw createError(faults);
  return settings as DaemonSettings;
}

function readSetting(name: SettingName, given: GivenTexts): Reading {
  const definition = describeSetting(name);
  const source = findText(name, given);
  if (!source) return definition.required ? lacksSetting(name) : {name};
  const result = createReader(definition).read(source.text);
  if ('value' in result) return {name, value: result.value};
  // A value taken from another setting is told as that setting's fault only.
  const isInherited = !given.has(name) && definition.defaultFrom !== undefined;
  return isInherited
    ? {name}
    : {name, fault: describeRejection(name, source, result.rejection)};
}

function findText(name: SettingName, given: GivenTexts): GivenText | undefined {
  const definition = describeSetting(name);
  const own = given.get(name);
  if (own) return own;
  if (definition.defaultFrom !== undefined) {
    return findText(definition.defaultFrom as SettingName, given);
  }
  return definition.default === undefined
    ? undefined
    : {label: `the default of ${toFlag(name)}`, text: definition.default};
}

function collectValues(readings: readonly Reading[]): ReadSettings {
  return Object.fromEntries(
    readings.map(({name, value}) => [toKey(name), value]),
  );
}

function lacksSetting(name: SettingName): Reading {
  const {description} = describeSetting(name);
  const fault: SettingFault = {
    problem: 'missing',
    settings: [toFlag(name)],
    message: `${toFlag(name)} is missing. ${description}`,
    remedy: `Give ${toFlag(name)} or ${toVariable(name)}.`,
  };
  return {name, fault};
}

function describeRejection(
  name: SettingName,
  {label, text}: GivenText,
  {problem, complaint, remedy}: Rejection,
): SettingFault {
  const {secret, type} = describeSetting(name);
  // A URL may hold a password, and a secret is one.
  const shown = secret || type === 'url' ? 'its value' : `"${text}"`;
  const message = `${label}: ${shown} ${complaint}.`;
  return {problem, settings: [label], message, remedy};
}

function createError(faults: readonly SettingFault[]): TypedError {
  const count =
    faults.length === 1 ? 'is 1 fault' : `are ${faults.length} faults`;
  const lines = faults.map(({message, remedy}) => `  ${message} ${remedy}`);
  return new TypedError(
    'bad-request',
    [`There ${count} in the settings:`, ...lines].join('\n'),
    {remedy: 'Correct all the faults listed.', info: {faults}},
  );
}
