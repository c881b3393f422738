import {ManualClock} from '@mimosatack/clock';
import {MemoryEventLogger} from '@mimosatack/logger';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {Shutdown} from './shutdown.js';

/** A node that stops when the test says so. */
function createFixture() {
  const clock = new ManualClock();
  const logger = new MemoryEventLogger();
  const exitCodes: number[] = [];
  let finish: () => void = () => undefined;
  const stopped = new Promise<void>(resolve => {
    finish = resolve;
  });
  const shutdown = new Shutdown({
    node: {requestsInFlight: 3, stop: () => stopped},
    clock,
    logger,
    graceMs: 5_000,
    exit: code => exitCodes.push(code),
  });
  const end = async () => {
    finish();
    await stopped;
    await Promise.resolve();
  };
  return {clock, logger, exitCodes, shutdown, end};
}

const shutdowns = suite('shutdown');

shutdowns('ends with 0 once all requests are answered', async () => {
  const {clock, logger, exitCodes, shutdown, end} = createFixture();
  shutdown.take('SIGTERM');
  clock.advance(1_000);
  assert.equal(exitCodes, []);
  await end();
  clock.advance(10_000);
  assert.equal(exitCodes, [0]);
  assert.equal(logger.fieldsOf('shutdown-finished'), [{durationMs: 1_000}]);
});

/**
 * An operator stops a node on which one request hangs for ever. The process
 * must end when the grace is over, and the log must say that it cut one off.
 */
shutdowns('a request that hangs is cut off after the grace', async () => {
  const {clock, logger, exitCodes, shutdown, end} = createFixture();
  shutdown.take('SIGTERM');
  clock.advance(5_000);
  await end();
  assert.equal(exitCodes, [1]);
  assert.equal(logger.fieldsOf('shutdown-cut-off'), [
    {requestsInFlight: 3, graceMs: 5_000},
  ]);
  assert.equal(logger.fieldsOf('shutdown-finished'), []);
});

shutdowns('a second signal ends it at once', () => {
  const {exitCodes, shutdown} = createFixture();
  shutdown.take('SIGTERM');
  shutdown.take('SIGINT');
  shutdown.take('SIGINT');
  assert.equal(exitCodes, [1]);
});

shutdowns.run();
