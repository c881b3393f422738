#!/usr/bin/env node
/** Program: runs one node. */
import {randomBytes} from 'node:crypto';
import {SystemClock} from '@mimosatack/clock';
import {toTypedError} from '@mimosatack/errors';
import {BunyanEventLogger, type EventLogger} from '@mimosatack/logger';
import {MimosatackNode} from '@mimosatack/node';
import {SeededRandom} from '@mimosatack/random';
import {
  type DaemonSettings,
  formatSettings,
  formatUsage,
  parseSettings,
  redactSettings,
} from '@mimosatack/settings';

const RELEASE = '0.1.0';
const EXIT_BAD_SETTINGS = 2;
const EXIT_FAILED = 1;
const PRINT_SETTINGS_FLAG = '--print-settings';
const HELP_FLAGS = ['--help', '-h'];
const VERSION_FLAG = '--version';

async function main(argv: readonly string[]): Promise<void> {
  if (argv.some(flag => HELP_FLAGS.includes(flag))) {
    process.stdout.write(formatUsage());
    return;
  }
  if (argv.includes(VERSION_FLAG)) {
    process.stdout.write(`${RELEASE}\n`);
    return;
  }
  const settings = readSettings(
    argv.filter(flag => flag !== PRINT_SETTINGS_FLAG),
  );
  if (!settings) return;
  if (argv.includes(PRINT_SETTINGS_FLAG)) {
    process.stdout.write(`${formatSettings(settings)}\n`);
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
  const clock = new SystemClock();
  const logger = new BunyanEventLogger({
    nodeName: settings.nodeName,
    level: settings.logLevel,
    destination: settings.logDestination,
  });
  handleProcessErrors(logger);
  logger.log('settings-loaded', {settings: redactSettings(settings)});
  const node = new MimosatackNode({
    settings,
    logger,
    clock,
    random: new SeededRandom(randomBytes(4).readInt32LE()),
    release: RELEASE,
  });
  // Registered before the start: a signal during the start must stop the node.
  process.on('SIGTERM', () => node.requestStop('SIGTERM'));
  process.on('SIGINT', () => node.requestStop('SIGINT'));
  void node.stopped.then(exitCode => process.exit(exitCode));
  try {
    const addresses = await node.start();
    if (addresses) process.stdout.write(`READY ${JSON.stringify(addresses)}\n`);
  } catch (thrown) {
    logger.log('start-failed', {error: toTypedError(thrown)});
    process.exit(EXIT_FAILED);
  }
}

/**
 * Logs an unhandled rejection and continues, since it affects one request or
 * message. Exits on an uncaught exception, after which the state is unknown.
 */
function handleProcessErrors(logger: EventLogger): void {
  process.on('unhandledRejection', thrown =>
    logger.log('rejection-unhandled', {error: toTypedError(thrown)}),
  );
  process.on('uncaughtException', thrown => {
    logger.log('unexpected-error', {error: toTypedError(thrown)});
    process.exit(EXIT_FAILED);
  });
}

await main(process.argv.slice(2));
