/** Collects the unparsed texts of settings from flags and variables. */
import {parseArgs} from 'node:util';
import {closest, distance} from 'fastest-levenshtein';
import {type SettingFault} from './fault.js';
import {
  SETTING_NAMES,
  type SettingName,
  describeSetting,
  hasDaemonPrefix,
  toFlag,
  toVariable,
} from './schema.js';

/** Environment variables, as in `process.env`. */
export type Environment = Readonly<Record<string, string | undefined>>;

/** The text of a setting and the flag or variable that it comes from. */
export interface SourceText {
  label: string;
  text: string;
}

export interface SourceResult {
  given: ReadonlyMap<SettingName, SourceText>;
  faults: readonly SettingFault[];
}

/** Maximum edit distance between a mistyped variable and a known one. */
const MAX_TYPO_DISTANCE = 2;

const SEE_DOCS = 'docs/operators/settings.md lists all settings.';

type Token = NonNullable<ReturnType<typeof parseArgs>['tokens']>[number];
type OptionToken = Extract<Token, {kind: 'option'}>;

/** Reads flags of the forms `--name value` and `--name=value`. */
export function readFlags(argv: readonly string[]): SourceResult {
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
      ...describePositionals(tokens),
      ...known
        .filter(option => option.value === undefined)
        .map(reportMissingValue),
      ...known.filter(isRepeated).map(reportRepeatedFlag),
    ],
  };
}

/** Reads environment variables; an empty one counts as not given. */
export function readEnvironment(env: Environment): SourceResult {
  const given = SETTING_NAMES.map(name => {
    const label = toVariable(name);
    return [name, {label, text: env[label] ?? ''}] as const;
  }).filter(([, {text}]) => text !== '');
  return {given: new Map(given), faults: describeMistypedVariables(env)};
}

/**
 * Splits the arguments into tokens. In `--a --b`, `parseArgs` reads `--b` as
 * the value of `--a`; here `--a` gets no value and `--b` is parsed as a flag.
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
    token => token.kind === 'option' && hasConsumedFlag(token),
  );
  const token = tokens[cut];
  if (token?.kind !== 'option') return tokens;
  return [
    ...tokens.slice(0, cut),
    {...token, value: undefined, inlineValue: undefined},
    ...tokenize(argv.slice(token.index + 1)),
  ];
}

/**
 * Whether `parseArgs` read a flag as the value of the option. A secret may start
 * with hyphens and must not be printed as an unknown flag.
 */
function hasConsumedFlag(option: OptionToken): boolean {
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
 * Reports positional arguments, except one after an unknown flag, which is
 * probably its value. An argument may be a secret, so the message omits it.
 */
function describePositionals(tokens: readonly Token[]): SettingFault[] {
  return tokens
    .filter(
      (token, position) =>
        token.kind === 'positional' &&
        !isUnknownFlagWithoutValue(tokens[position - 1]),
    )
    .map(() => ({
      problem: 'unknown',
      settings: [],
      message: 'There is an argument that belongs to no flag.',
      remedy: 'Write each setting as --name value.',
    }));
}

function isUnknownFlagWithoutValue(token: Token | undefined): boolean {
  return (
    token?.kind === 'option' &&
    token.value === undefined &&
    !isSettingName(token.name)
  );
}

function reportMissingValue({name}: OptionToken): SettingFault {
  return {
    problem: 'missing',
    settings: [`--${name}`],
    message: `--${name} has no value.`,
    remedy: `Write --${name}=value.`,
  };
}

function reportRepeatedFlag({name}: OptionToken): SettingFault {
  return {
    problem: 'repeated',
    settings: [`--${name}`],
    message: `--${name} is given more than once.`,
    remedy: `Give --${name} once.`,
  };
}

/**
 * Reports variables with the daemon's prefix that are close to a known one.
 * Other variables are ignored: they may belong to the command-line tool.
 */
function describeMistypedVariables(env: Environment): SettingFault[] {
  const known = SETTING_NAMES.map(toVariable);
  return Object.keys(env)
    .filter(variable => hasDaemonPrefix(variable) && !known.includes(variable))
    .map(variable => ({variable, nearest: closest(variable, known)}))
    .filter(
      ({variable, nearest}) => distance(variable, nearest) <= MAX_TYPO_DISTANCE,
    )
    .map(({variable, nearest}) => ({
      problem: 'unknown',
      settings: [variable],
      message: `${variable} is not a known environment variable.`,
      remedy: `Did you mean ${nearest}? ${SEE_DOCS}`,
    }));
}
