/** The shape of one setting in the schema, and the types its values have. */

interface CommonDefinition {
  description: string;
  /** The node does not start without it. */
  required?: true;
  /** Its value is never printed or logged. */
  secret?: true;
  /** The value in force when none is given, as it would be written. */
  default?: string;
  /** The setting whose value is in force when none is given. */
  defaultFrom?: string;
}

/** A number with the range it must lie in; the name tells the unit. */
export interface NumberDefinition extends CommonDefinition {
  type: 'integer' | 'fraction';
  min: number;
  max: number;
}

/** Any text that is long enough. */
export interface TextDefinition extends CommonDefinition {
  type: 'text';
  minLength: number;
}

/** One of a few words. */
export interface ChoiceDefinition extends CommonDefinition {
  type: 'choice';
  choices: readonly string[];
}

/** Several addresses in one value. */
export interface AddressListDefinition extends CommonDefinition {
  type: 'address-list';
  separator: string;
}

/** A value whose form follows from its type alone. */
export interface PlainDefinition extends CommonDefinition {
  type: 'name' | 'url' | 'ip-address' | 'sha256-hex';
}

/** One row of the schema. */
export type SettingDefinition =
  | NumberDefinition
  | TextDefinition
  | ChoiceDefinition
  | AddressListDefinition
  | PlainDefinition;

/** An IP address with a port. */
export interface SocketAddress {
  host: string;
  port: number;
}

/** The TypeScript type of the values of each type of setting. */
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

/** A value of any setting. */
export type SettingValue = SettingValues[keyof SettingValues];
