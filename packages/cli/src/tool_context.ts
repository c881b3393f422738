import {type Clock} from '@mimosatack/clock';
import {type Writable} from 'node:stream';
import {type BaseContext} from 'clipanion';

/** What the commands take from the process; tests pass their own. */
export interface ToolContext extends BaseContext {
  stdout: Writable & {isTTY?: boolean};
  clock: Clock;
  /** Makes a token that nobody can guess. */
  makeToken(): string;
  readFile(path: string): Promise<string>;
}
