#!/usr/bin/env node
/** Program: one node of the system. */
import {randomBytes} from 'node:crypto';
import {SystemClock} from '@mimosatack/clock';
import {type TypedError, toTypedError} from '@mimosatack/errors';
import {BunyanEventLogger} from '@mimosatack/logger';
import {MimosatackNode} from '@mimosatack/node';
import {SeededRandom} from '@mimosatack/random';
import {
  type DaemonSettings,
  formatSettings,
  formatUsage,
  parseSettings,
} from '@mimosatack/settings';

const RELEASE = '0.1.0';
const EXIT_BAD_SETTINGS = 2;
const EXIT_START_FAILED = 1;
const PRINT_FLAG = '--print-settings';

async function main(): Promise<void> {
  const argv = process.argv.slice(2);
  if (argv.includes('--help')) {
    process.stdout.write(formatUsage());
    return;
  }
  const settings = readSettings(argv.filter(flag => flag !== PRINT_FLAG));
  if (!settings) return;
  if (argv.includes(PRINT_FLAG)) {
    process.stdout.write(formatSettings(settings));
    return;
  }
  await run(settings);
}

function readSettings(argv: readonly string[]): DaemonSettings | null {
  try {
    return parseSettings(argv, process.env);
  } catch (thrown) {
    const error = toTypedError(thrown);
    process.stderr.write(`${error.message}\n${error.remedy}\n`);
    process.exitCode = EXIT_BAD_SETTINGS;
    return null;
  }
}

async function run(settings: DaemonSettings): Promise<void> {
  const logger = new BunyanEventLogger({
    nodeName: settings.nodeName,
    level: settings.logLevel,
    destination: settings.logDestination,
  });
  const node = new MimosatackNode({
    settings,
    logger,
    clock: new SystemClock(),
    random: new SeededRandom(randomBytes(4).readInt32LE()),
    release: RELEASE,
  });
  // Before the start, so that a stop that comes during it is not lost.
  process.on('SIGTERM', () => node.requestStop('SIGTERM'));
  process.on('SIGINT', () => node.requestStop('SIGINT'));
  void node.stopped.then(exitCode => process.exit(exitCode));
  try {
    const addresses = await node.start();
    if (addresses) process.stdout.write(`READY ${JSON.stringify(addresses)}\n`);
  } catch (thrown) {
    logger.log('start-failed', {error: toTypedError(thrown)});
    process.exit(EXIT_START_FAILED);
  }
}

process.on('unhandledRejection', thrown => {
  const error: TypedError = toTypedError(thrown);
  process.stderr.write(`${JSON.stringify({unhandled: error.stack})}\n`);
});
await main();
