/** Types of the settings schema and of setting values. */

interface CommonDefinition {
  description: string;
  required?: true;
  /** The value is never printed or logged. */
  secret?: true;
  /** The default value, as text. */
  default?: string;
  /** The setting whose value is the default. */
  defaultFrom?: string;
}

/** A number within an inclusive range; the setting's name includes its unit. */
export interface NumberDefinition extends CommonDefinition {
  type: 'integer' | 'fraction';
  min: number;
  max: number;
}

export interface TextDefinition extends CommonDefinition {
  type: 'text';
  minLength: number;
}

export interface ChoiceDefinition extends CommonDefinition {
  type: 'choice';
  choices: readonly string[];
}

/** A list of socket addresses. */
export interface AddressListDefinition extends CommonDefinition {
  type: 'address-list';
  separator: string;
}

/** A value of a type that needs no further options. */
export interface PlainDefinition extends CommonDefinition {
  type: 'name' | 'url' | 'ip-address' | 'sha256-hex';
}

export type SettingDefinition =
  | NumberDefinition
  | TextDefinition
  | ChoiceDefinition
  | AddressListDefinition
  | PlainDefinition;

export interface SocketAddress {
  host: string;
  port: number;
}

/** Maps each setting type to the TypeScript type of its values. */
export interface SettingValues {
  integer: number;
  fraction: number;
  text: string;
  choice: string;
  'address-list': readonly SocketAddress[];
  name: string;
  url: string;
  'ip-address': string;
  'sha256-hex': string;
}

export type SettingValue = SettingValues[keyof SettingValues];
