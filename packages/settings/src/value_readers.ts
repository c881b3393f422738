/** Readers that parse the text of a setting. */
import {isIP} from 'node:net';
import {
  type AddressListDefinition,
  type ChoiceDefinition,
  type NumberDefinition,
  type SettingDefinition,
  type SettingValue,
  type SocketAddress,
  type TextDefinition,
} from './definition.js';
import {type FaultProblem} from './fault.js';

/** Why a text is invalid; the reason never contains the text. */
export interface Rejection {
  problem: FaultProblem;
  reason: string;
  remedy: string;
}

export type ReadResult<T> = {value: T} | {rejection: Rejection};

export interface ValueReader<T extends SettingValue = SettingValue> {
  read(text: string): ReadResult<T>;
}

export function createReader(definition: SettingDefinition): ValueReader {
  switch (definition.type) {
    case 'integer':
    case 'fraction':
      return new NumberReader(definition);
    case 'text':
      return new TextReader(definition);
    case 'choice':
      return new ChoiceReader(definition);
    case 'address-list':
      return new AddressListReader(definition);
    case 'url':
      return new UrlReader();
    case 'ip-address':
      return new IpAddressReader();
    case 'name':
      return new PatternReader(
        /^[a-z0-9]([a-z0-9._-]{0,62}[a-z0-9])?$/i,
        'is not a name',
        'Use up to 64 letters, digits, dots, hyphens and underscores.',
      );
    case 'sha256-hex':
      return new PatternReader(
        /^[0-9a-f]{64}$/,
        'is not a SHA-256 hash',
        'Give 64 hexadecimal digits in lower case.',
      );
  }
}

const NUMBER_FORMS = {
  integer: {pattern: /^-?\d{1,15}$/, reason: 'is not a whole number'},
  fraction: {pattern: /^-?\d+(\.\d+)?$/, reason: 'is not a number'},
};

class NumberReader implements ValueReader<number> {
  constructor(private readonly definition: NumberDefinition) {}

  read(text: string): ReadResult<number> {
    const {type, min, max} = this.definition;
    const {pattern, reason} = NUMBER_FORMS[type];
    const remedy = `Give a number from ${min} to ${max}.`;
    if (!pattern.test(text)) return reject('invalid', reason, remedy);
    const value = Number(text);
    return value >= min && value <= max
      ? {value}
      : reject('out-of-range', 'is out of range', remedy);
  }
}

class TextReader implements ValueReader<string> {
  constructor(private readonly definition: TextDefinition) {}

  read(text: string): ReadResult<string> {
    const {minLength} = this.definition;
    if (text.length >= minLength) return {value: text};
    return text === ''
      ? reject('invalid', 'is empty', 'Give a value.')
      : reject(
          'out-of-range',
          'is too short',
          `Give at least ${minLength} characters.`,
        );
  }
}

class ChoiceReader implements ValueReader<string> {
  constructor(private readonly definition: ChoiceDefinition) {}

  read(text: string): ReadResult<string> {
    const {choices} = this.definition;
    return choices.includes(text)
      ? {value: text}
      : reject(
          'invalid',
          'is not one of the choices',
          `Give one of ${choices.join(', ')}.`,
        );
  }
}

class PatternReader implements ValueReader<string> {
  constructor(
    private readonly pattern: RegExp,
    private readonly reason: string,
    private readonly remedy: string,
  ) {}

  read(text: string): ReadResult<string> {
    return this.pattern.test(text)
      ? {value: text}
      : reject('invalid', this.reason, this.remedy);
  }
}

class UrlReader implements ValueReader<string> {
  read(text: string): ReadResult<string> {
    const url = URL.canParse(text) ? new URL(text) : undefined;
    if (!url || !/^https?:$/.test(url.protocol)) {
      return reject(
        'invalid',
        'is not an HTTP URL',
        'Give a URL such as http://10.0.0.5:9000.',
      );
    }
    // Settings are logged, and so would be a password in a URL.
    return url.username === '' && url.password === ''
      ? {value: text}
      : reject(
          'invalid',
          'holds a user name or a password',
          'Give the URL without them.',
        );
  }
}

class IpAddressReader implements ValueReader<string> {
  read(text: string): ReadResult<string> {
    return isIP(text) === 0
      ? reject(
          'invalid',
          'is not an IP address',
          'Give an IP address such as 10.0.0.5; names are not looked up.',
        )
      : {value: text};
  }
}

class AddressListReader implements ValueReader<readonly SocketAddress[]> {
  constructor(private readonly definition: AddressListDefinition) {}

  read(text: string): ReadResult<readonly SocketAddress[]> {
    const {separator} = this.definition;
    const parts = text.split(separator).map(part => part.trim());
    const addresses = parts.filter(part => part !== '').map(parseAddress);
    const value = addresses.filter(address => address !== undefined);
    return value.length === addresses.length
      ? {value}
      : reject(
          'invalid',
          'is not a list of addresses',
          `Give IP addresses with ports, such as 10.0.0.5:7082, separated by "${separator}".`,
        );
  }
}

/** Parses `10.0.0.5:7082` or `[fd00::5]:7082`. */
function parseAddress(text: string): SocketAddress | undefined {
  const match = /^(?:\[([^\]]+)\]|([^:]+)):(\d{1,5})$/.exec(text);
  const host = match?.[1] ?? match?.[2] ?? '';
  const port = Number(match?.[3]);
  return isIP(host) !== 0 && port >= 1 && port <= 65_535
    ? {host, port}
    : undefined;
}

function reject(
  problem: FaultProblem,
  reason: string,
  remedy: string,
): {rejection: Rejection} {
  return {rejection: {problem, reason, remedy}};
}
