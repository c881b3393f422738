import {type Clock} from '@mimosatack/clock';
import {type Writable} from 'node:stream';
import {type BaseContext} from 'clipanion';

/** Process resources that the commands use; tests pass their own. */
export interface ToolContext extends BaseContext {
  stdout: Writable & {isTTY?: boolean};
  clock: Clock;
  /** Generates a random bearer token. */
  makeToken(): string;
  readFile(path: string): Promise<string>;
}
