import {readFileSync} from 'node:fs';
import {PassThrough} from 'node:stream';
import {ManualClock} from '@mimosatack/clock';
import {TypedError} from '@mimosatack/errors';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
  BunyanEventLogger,
  EVENT_AREAS,
  RateLimitedEventLogger,
  MemoryEventLogger,
  formatCatalogueAsMarkdown,
  listEvents,
} from './index.js';

/** Fields that bunyan or `BunyanEventLogger` sets on each line. */
const RESERVED_FIELDS = [
  ...['v', 'level', 'name', 'hostname', 'pid', 'time', 'msg', 'src'],
  ...['nodeName', 'eventNumber', 'eventName'],
];

function createLogger(level: 'debug' | 'warn') {
  const stream = new PassThrough({encoding: 'utf8'});
  const logger = new BunyanEventLogger({
    nodeName: 'entry-1',
    level,
    destination: stream,
  });
  const readLines = () =>
    String(stream.read() ?? '')
      .split('\n')
      .filter(line => line !== '')
      .map(line => JSON.parse(line) as Record<string, unknown>);
  return {logger, readLines};
}

const catalogue = suite('event catalogue');

catalogue('numbers are unique and within an area', () => {
  const numbers = listEvents().map(event => event.number);
  assert.is(new Set(numbers).size, numbers.length);
  const outsideAreas = numbers.filter(
    number =>
      !EVENT_AREAS.some(
        area => number >= area.firstNumber && number <= area.lastNumber,
      ),
  );
  assert.equal(outsideAreas, []);
});

catalogue('names are in kebab case and fields avoid reserved names', () => {
  listEvents().forEach(({name, fields}) => {
    assert.match(name, /^[a-z]+(-[a-z]+)*$/);
    const clashes = RESERVED_FIELDS.filter(field => field in fields);
    assert.equal(clashes, [], name);
  });
});

catalogue('docs/EVENTS.md is current', () => {
  const page = new URL('../../../docs/EVENTS.md', import.meta.url);
  assert.fixture(readFileSync(page, 'utf8'), formatCatalogueAsMarkdown());
});

catalogue.run();

const loggers = suite('event loggers');

loggers('a line contains number, name, node, message and fields', () => {
  const {logger, readLines} = createLogger('debug');
  logger.log('node-ready', {startupMs: 12});
  const [line] = readLines();
  assert.is(line?.eventNumber, 1001);
  assert.is(line?.eventName, 'node-ready');
  assert.is(line?.nodeName, 'entry-1');
  assert.is(line?.startupMs, 12);
  assert.is(line?.msg, 'The node has read its streams and accepts requests.');
});

loggers('events below the level are not logged', () => {
  const {logger, readLines} = createLogger('warn');
  logger.log('node-ready', {startupMs: 12});
  logger.log('retry-budget-spent', {pool: 'sage-llm'});
  assert.equal(
    readLines().map(line => line.eventNumber),
    [4102],
  );
});

loggers('an error is logged with its kind and remedy', () => {
  const {logger, readLines} = createLogger('debug');
  const error = new TypedError('conflict', 'Version 3 is gone.');
  logger.log('start-failed', {error});
  assert.equal(readLines()[0]?.error, {
    kind: 'conflict',
    message: 'Version 3 is gone.',
    remedy: 'Read the current version and apply again.',
  });
});

loggers('an internal error is logged with the stack of its cause', () => {
  const {logger, readLines} = createLogger('debug');
  const cause = new Error('boom');
  const error = new TypedError('internal', 'Failed', {cause});
  logger.log('unexpected-error', {error});
  const loggedError = readLines()[0]?.error as {stack: string};
  assert.is(loggedError.stack, cause.stack);
});

loggers('the memory logger returns the fields by event name', () => {
  const logger = new MemoryEventLogger();
  logger.log('node-ready', {startupMs: 12});
  logger.log('host-leaving', {backendServerId: 'runner-1'});
  assert.equal(logger.fieldsOf('host-leaving'), [
    {backendServerId: 'runner-1'},
  ]);
});

// Guards against a log flooded by a client that retries a revoked token.
loggers('repeats of a limited event are suppressed and counted', () => {
  const clock = new ManualClock();
  const inner = new MemoryEventLogger();
  const logger = new RateLimitedEventLogger(inner, {
    clock,
    limited: ['operator-unauthenticated'],
    maxPerInterval: 2,
    intervalMs: 1_000,
  });
  const logRepeatedly = (count: number) =>
    Array.from({length: count}, () =>
      logger.log('operator-unauthenticated', {remoteAddress: '', error: ''}),
    );
  logRepeatedly(10);
  logger.log('node-ready', {startupMs: 12});
  clock.advance(1_000);
  logRepeatedly(1);
  assert.is(inner.fieldsOf('operator-unauthenticated').length, 3);
  assert.is(inner.fieldsOf('node-ready').length, 1);
  assert.equal(inner.fieldsOf('events-suppressed'), [
    {suppressedEvent: 'operator-unauthenticated', count: 8},
  ]);
});

loggers.run();
