/** Formats settings for display with secrets redacted. */
import {type SettingValue, type SocketAddress} from './definition.js';
import {
  type DaemonSettings,
  SETTING_GROUPS,
  SETTING_NAMES,
  type SettingName,
  describeSetting,
  toFlag,
  toKey,
  toVariable,
} from './schema.js';

const REDACTED = '(redacted)';
const NOT_SET = '(not set)';

/** Formats each setting as text for logs, with secrets redacted. */
export function redactSettings(
  settings: DaemonSettings,
): Record<SettingName, string> {
  const entries = SETTING_NAMES.map(name => [
    name,
    formatValue(name, settings[toKey(name)]),
  ]);
  return Object.fromEntries(entries) as Record<SettingName, string>;
}

/** Formats the settings as `name=value` lines, with secrets redacted. */
export function formatSettings(settings: DaemonSettings): string {
  return Object.entries(redactSettings(settings))
    .map(([name, text]) => `${name}=${text}`)
    .join('\n');
}

/** Formats the help text of the daemon. */
export function formatUsage(): string {
  const groups = SETTING_GROUPS.map(({title, names}) =>
    [`${title}:`, ...names.map(formatUsageLine)].join('\n'),
  );
  return [USAGE_HEADER, ...groups, USAGE_FOOTER].join('\n\n') + '\n';
}

const USAGE_HEADER = `Usage: mimosatackd --name value ...

  --help            Print this text and exit.
  --version         Print the release and exit.
  --print-settings  Print the settings in force, without secrets, and exit.

Each setting can be given as an environment variable instead, such as
${toVariable('log-url')}; a flag wins. Give secrets by variables only.`;

const USAGE_FOOTER = `Exit codes: 0 stopped, 1 could not start or was cut off, 2 wrong settings.
docs/operators/settings.md tells more about each setting.`;

function formatUsageLine(name: SettingName): string {
  const {description} = describeSetting(name);
  const presence = describePresence(name).replaceAll('`', '').toLowerCase();
  return `  ${toFlag(name)} (${presence})\n      ${description}`;
}

const PAGE_INTRODUCTION = `# Settings of mimosatackd

Each setting is given by a flag or by an environment variable; the flag wins,
and an empty variable counts as not given. The daemon starts only when all
settings are valid, and else tells all faults at once. Give secrets by
environment variables: flags can be read by other users of the host.

This page is written by \`npm run docs:settings\`; change
\`packages/settings/src/groups\` instead.`;

/** The text of docs/operators/settings.md. */
export function formatSettingsAsMarkdown(): string {
  const groups = SETTING_GROUPS.map(({title, names}) =>
    [`## ${title}`, ...names.map(formatSection)].join('\n\n'),
  );
  return [PAGE_INTRODUCTION, ...groups].join('\n\n') + '\n';
}

function formatSection(name: SettingName): string {
  const {description, secret} = describeSetting(name);
  const items = [
    `- Variable: \`${toVariable(name)}\``,
    `- Value: ${describeValues(name)}`,
    `- ${describePresence(name)}`,
    ...(secret ? ['- Secret: never printed or logged'] : []),
  ];
  return [`### \`${toFlag(name)}\``, description, items.join('\n')].join(
    '\n\n',
  );
}

function describeValues(name: SettingName): string {
  const definition = describeSetting(name);
  switch (definition.type) {
    case 'integer':
      return `whole number from ${definition.min} to ${definition.max}`;
    case 'fraction':
      return `number from ${definition.min} to ${definition.max}`;
    case 'text':
      return `text of at least ${definition.minLength} characters`;
    case 'choice':
      return definition.choices.map(choice => `\`${choice}\``).join(', ');
    case 'address-list':
      return `IP addresses with ports, separated by \`${definition.separator}\``;
    case 'name':
      return 'up to 64 letters, digits, dots, hyphens and underscores';
    case 'url':
      return 'HTTP URL';
    case 'ip-address':
      return 'IP address';
    case 'sha256-hex':
      return '64 hexadecimal digits in lower case';
  }
}

function describePresence(name: SettingName): string {
  const definition = describeSetting(name);
  if (definition.required) return 'Required';
  if (definition.defaultFrom !== undefined) {
    return `Default: the value of \`--${definition.defaultFrom}\``;
  }
  if (definition.default === undefined) return 'Optional';
  return `Default: ${definition.default === '' ? 'none' : `\`${definition.default}\``}`;
}

function formatValue(
  name: SettingName,
  value: SettingValue | undefined,
): string {
  if (value === undefined) return NOT_SET;
  if (describeSetting(name).secret) return REDACTED;
  return typeof value === 'object'
    ? value.map(formatAddress).join(',')
    : String(value);
}

function formatAddress({host, port}: SocketAddress): string {
  return host.includes(':') ? `[${host}]:${port}` : `${host}:${port}`;
}
