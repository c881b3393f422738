/** Collects what flags and environment variables say, before it is read. */
import {parseArgs} from 'node:util';
import {closest, distance} from 'fastest-levenshtein';
import {type SettingFault} from './fault.js';
import {
  SETTING_NAMES,
  type SettingName,
  describeSetting,
  isOwnVariable,
  toFlag,
  toVariable,
} from './schema.js';

/** Environment variables, as in `process.env`. */
export type Environment = Readonly<Record<string, string | undefined>>;

/** The text given for a setting, and the flag or variable that gave it. */
export interface GivenText {
  label: string;
  text: string;
}

/** What was found for one kind of source. */
export interface Found {
  given: ReadonlyMap<SettingName, GivenText>;
  faults: readonly SettingFault[];
}

/** The most letters in which a mistyped variable differs from a known one. */
const MAX_TYPO_LETTERS = 2;

const SEE_DOCS = 'docs/operators/settings.md lists all settings.';

type Token = NonNullable<ReturnType<typeof parseArgs>['tokens']>[number];
type OptionToken = Extract<Token, {kind: 'option'}>;

/** Reads flags of the forms `--name value` and `--name=value`. */
export function readFlags(argv: readonly string[]): Found {
  const tokens = tokenize(argv);
  const options = tokens.filter(token => token.kind === 'option');
  const known = options.filter(option => isSettingName(option.name));
  const given = known.flatMap(({name, value}) =>
    isSettingName(name) && value !== undefined
      ? [[name, {label: `--${name}`, text: value}] as const]
      : [],
  );
  return {
    given: new Map(given),
    faults: [
      ...describeUnknownFlags(options),
      ...describeStrayArguments(tokens),
      ...known.filter(option => option.value === undefined).map(lacksValue),
      ...known.filter(isRepeated).map(repeatsFlag),
    ],
  };
}

/** Reads environment variables; an empty one counts as not given. */
export function readEnvironment(env: Environment): Found {
  const given = SETTING_NAMES.map(name => {
    const label = toVariable(name);
    return [name, {label, text: env[label] ?? ''}] as const;
  }).filter(([, {text}]) => text !== '');
  return {given: new Map(given), faults: describeMistypedVariables(env)};
}

/**
 * Splits the arguments into tokens. `parseArgs` takes `--b` in `--a --b` for
 * the value of `--a`, which would hide the setting b; such an `--a` is left
 * without a value and `--b` is read as a flag of its own.
 */
function tokenize(argv: readonly string[]): Token[] {
  const {tokens} = parseArgs({
    args: [...argv],
    options: Object.fromEntries(
      SETTING_NAMES.map(name => [name, {type: 'string' as const}]),
    ),
    strict: false,
    allowPositionals: true,
    tokens: true,
  });
  const cut = tokens.findIndex(
    token => token.kind === 'option' && hasSwallowedFlag(token),
  );
  const token = tokens[cut];
  if (token?.kind !== 'option') return tokens;
  return [
    ...tokens.slice(0, cut),
    {...token, value: undefined, inlineValue: undefined},
    ...tokenize(argv.slice(token.index + 1)),
  ];
}

/** A secret may begin with hyphens, and would be printed as unknown flag. */
function hasSwallowedFlag(option: OptionToken): boolean {
  if (option.inlineValue !== false) return false;
  if (!option.value.startsWith('--')) return false;
  const [name = ''] = option.value.slice(2).split('=');
  return isSettingName(name) || !isSecret(option.name);
}

function isSecret(name: string): boolean {
  return isSettingName(name) && describeSetting(name).secret === true;
}

function isSettingName(name: string): name is SettingName {
  return SETTING_NAMES.some(known => known === name);
}

function isRepeated(
  option: OptionToken,
  position: number,
  options: readonly OptionToken[],
): boolean {
  return options.slice(0, position).some(({name}) => name === option.name);
}

function describeUnknownFlags(options: readonly OptionToken[]): SettingFault[] {
  return options
    .filter(option => !isSettingName(option.name))
    .map(({rawName}) => {
      const nearest = closest(rawName, SETTING_NAMES.map(toFlag));
      return {
        problem: 'unknown',
        settings: [rawName],
        message: `${rawName} is not a known flag.`,
        remedy: `Did you mean ${nearest}? ${SEE_DOCS}`,
      };
    });
}

/**
 * Finds arguments that belong to no flag. The one after an unknown flag is
 * left out, since it is most likely that flag's value, and no argument is
 * repeated in the message, since it may be a secret.
 */
function describeStrayArguments(tokens: readonly Token[]): SettingFault[] {
  return tokens
    .filter(
      (token, position) =>
        token.kind === 'positional' && !mayTakeValue(tokens[position - 1]),
    )
    .map(() => ({
      problem: 'unknown',
      settings: [],
      message: 'There is an argument that belongs to no flag.',
      remedy: 'Write each setting as --name value.',
    }));
}

function mayTakeValue(token: Token | undefined): boolean {
  return (
    token?.kind === 'option' &&
    token.value === undefined &&
    !isSettingName(token.name)
  );
}

function lacksValue({name}: OptionToken): SettingFault {
  return {
    problem: 'missing',
    settings: [`--${name}`],
    message: `--${name} has no value.`,
    remedy: `Write --${name}=value.`,
  };
}

function repeatsFlag({name}: OptionToken): SettingFault {
  return {
    problem: 'repeated',
    settings: [`--${name}`],
    message: `--${name} is given more than once.`,
    remedy: `Give --${name} once.`,
  };
}

/**
 * Finds variables with our prefix that are a letter or two off. Others are
 * left alone: they may belong to the command-line tool.
 */
function describeMistypedVariables(env: Environment): SettingFault[] {
  const known = SETTING_NAMES.map(toVariable);
  return Object.keys(env)
    .filter(variable => isOwnVariable(variable) && !known.includes(variable))
    .map(variable => ({variable, nearest: closest(variable, known)}))
    .filter(
      ({variable, nearest}) => distance(variable, nearest) <= MAX_TYPO_LETTERS,
    )
    .map(({variable, nearest}) => ({
      problem: 'unknown',
      settings: [variable],
      message: `${variable} is not a known environment variable.`,
      remedy: `Did you mean ${nearest}? ${SEE_DOCS}`,
    }));
}
