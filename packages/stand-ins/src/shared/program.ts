/** Runs a stand-in as a separate process. */
import {parseArgs} from 'node:util';
import {type RunningStandIn} from './http_server.js';

type FlagValue = string | number | boolean | null;

/**
 * Reads flags named after the fields of `defaults`: `--first-token-ms 20` sets
 * `firstTokenMs`. The type of a flag is that of its default; null means text.
 */
export function parseFlags<T extends object>(
  defaults: T,
  args = process.argv.slice(2),
): T {
  const names = Object.keys(defaults);
  const options = Object.fromEntries(
    names.map(name => [toFlag(name), {type: 'string' as const}]),
  );
  const {values} = parseArgs({args, options, strict: true});
  const given = names.flatMap(name => {
    const text = values[toFlag(name)];
    const sample = defaults[name as keyof T] as FlagValue;
    return typeof text === 'string'
      ? [[name, parseFlagValue(name, text, sample)]]
      : [];
  });
  return {...defaults, ...(Object.fromEntries(given) as Partial<T>)};
}

/** Prints a ready line and closes the stand-in on SIGTERM or SIGINT. */
export async function runProgram<T>(
  start: () => Promise<RunningStandIn<T>>,
): Promise<void> {
  const running = await start();
  const stop = () => void running.close().finally(() => process.exit(0));
  process.once('SIGTERM', stop);
  process.once('SIGINT', stop);
  const line = JSON.stringify({ready: true, baseUrl: running.baseUrl});
  process.stdout.write(`${line}\n`);
}

function toFlag(name: string): string {
  return name.replace(/[A-Z]/g, letter => `-${letter.toLowerCase()}`);
}

function parseFlagValue(
  name: string,
  text: string,
  sample: FlagValue,
): FlagValue {
  if (typeof sample === 'number') return parseNumberFlag(name, text);
  return typeof sample === 'boolean' ? text === 'true' : text;
}

function parseNumberFlag(name: string, text: string): number {
  const value = Number(text);
  if (!Number.isFinite(value)) {
    throw new Error(`--${toFlag(name)} must be a number, not ${text}.`);
  }
  return value;
}
