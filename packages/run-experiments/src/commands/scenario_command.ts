/** Base class of the commands that simulate scenario files. */
import {readFileSync} from 'node:fs';
import {TypedError} from '@mimosatack/errors';
import {Command, Option} from 'clipanion';
import {type Scenario, readScenario} from '../scenario.js';

const MAX_SEEDS = 200;
/** Exit code for an invalid file or option. */
const EXIT_USAGE = 2;

/** Validates all files before the first simulation starts. */
export abstract class ScenarioCommand extends Command {
  files = Option.Rest({required: 1, name: 'file'});
  seedCount = Option.String('--seeds', '3', {
    description: `How many seeds are played, from 1 on; ${MAX_SEEDS} at most.`,
  });

  protected abstract simulate(
    scenarios: readonly Scenario[],
    seeds: readonly number[],
  ): void;

  async execute(): Promise<number> {
    try {
      const seeds = readSeeds(this.seedCount);
      this.simulate(this.files.map(readFile), seeds);
      return 0;
    } catch (thrown) {
      if (!(thrown instanceof TypedError)) throw thrown;
      this.context.stderr.write(`${thrown.message}\n${thrown.remedy}\n`);
      return EXIT_USAGE;
    }
  }
}

function readSeeds(text: string): number[] {
  const length = Number(text);
  if (!Number.isInteger(length) || length < 1 || length > MAX_SEEDS) {
    throw new TypedError('bad-request', `--seeds is ${text}.`, {
      remedy: `Give a whole number from 1 to ${MAX_SEEDS}.`,
    });
  }
  return Array.from({length}, (_, at) => at + 1);
}

function readFile(path: string): Scenario {
  try {
    return readScenario(readFileSync(path, 'utf8'), path);
  } catch (thrown) {
    if (thrown instanceof TypedError) throw thrown;
    const reason = thrown instanceof Error ? thrown.message : String(thrown);
    throw new TypedError('bad-request', `${path} can't be read: ${reason}`, {
      remedy: 'Name a scenario file that can be read.',
    });
  }
}
