import {readFileSync} from 'node:fs';
import {PassThrough} from 'node:stream';
import {TypedError} from '@mimosatack/errors';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {
  BunyanEventLogger,
  EVENT_AREAS,
  MemoryEventLogger,
  formatCatalogueAsMarkdown,
  listEvents,
} from './index.js';

/** Fields that bunyan or the logger itself sets on each line. */
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

catalogue('numbers are unique and lie in an area', () => {
  const numbers = listEvents().map(event => event.number);
  assert.is(new Set(numbers).size, numbers.length);
  const stray = numbers.filter(
    number =>
      !EVENT_AREAS.some(
        area => number >= area.firstNumber && number <= area.lastNumber,
      ),
  );
  assert.equal(stray, []);
});

catalogue('names are in kebab case and fields overwrite nothing', () => {
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

loggers('a line carries number, name, node, message and fields', () => {
  const {logger, readLines} = createLogger('debug');
  logger.log('node-ready', {startupMs: 12});
  const [line] = readLines();
  assert.is(line?.eventNumber, 1001);
  assert.is(line?.eventName, 'node-ready');
  assert.is(line?.nodeName, 'entry-1');
  assert.is(line?.startupMs, 12);
  assert.is(line?.msg, 'The node has read its streams and accepts requests.');
});

loggers('events below the level are left out', () => {
  const {logger, readLines} = createLogger('warn');
  logger.log('node-ready', {startupMs: 12});
  logger.log('retry-budget-spent', {pool: 'sage-llm'});
  assert.equal(
    readLines().map(line => line.eventNumber),
    [4102],
  );
});

loggers('an error is told with its kind and remedy', () => {
  const {logger, readLines} = createLogger('debug');
  const error = new TypedError('conflict', 'Version 3 is gone.');
  logger.log('start-failed', {error});
  assert.equal(readLines()[0]?.error, {
    kind: 'conflict',
    message: 'Version 3 is gone.',
    remedy: 'Read the current version and apply again.',
  });
});

loggers('an internal error is told with the stack of its cause', () => {
  const {logger, readLines} = createLogger('debug');
  const cause = new Error('boom');
  const error = new TypedError('internal', 'Failed', {cause});
  logger.log('unexpected-error', {error});
  const told = readLines()[0]?.error as {stack: string};
  assert.is(told.stack, cause.stack);
});

loggers('the memory logger gives back the fields by event', () => {
  const logger = new MemoryEventLogger();
  logger.log('node-ready', {startupMs: 12});
  logger.log('host-leaving', {backendServerId: 'runner-1'});
  assert.equal(logger.fieldsOf('host-leaving'), [
    {backendServerId: 'runner-1'},
  ]);
});

loggers.run();
