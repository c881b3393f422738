import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {startPlatformStandIn} from '@mimosatack/stand-ins';
import {
  type TestNode,
  chat,
  createNode,
  expectedText,
  listEntryNames,
  waitUntil,
  withCluster,
} from './node_fixture.js';

const test = suite('planned stops of nodes');

/**
 * About three seconds, longer than the drain period in which callers learn of
 * the stop.
 */
const LONG_STREAM_TOKENS = 300;

/** Starts a long stream on each node and waits until all have begun. */
async function beginStreams(nodes: readonly TestNode[]) {
  const streams = nodes.map(node => {
    let texts = Promise.resolve('');
    const begun = new Promise<void>(resolve => {
      texts = chat(node, LONG_STREAM_TOKENS, resolve);
    });
    return {texts, begun};
  });
  await Promise.all(streams.map(({begun}) => begun));
  return Promise.all.bind(
    Promise,
    streams.map(({texts}) => texts),
  ) as () => Promise<string[]>;
}

/** The node that holds the engine, then the others. */
function holderFirst(nodes: readonly TestNode[]) {
  const isHolder = ({logger}: TestNode) =>
    logger.fieldsOf('stewardship-acquired').length >
    logger.fieldsOf('stewardship-lost').length;
  const others = nodes.filter(node => !isHolder(node));
  const sorted = [...nodes.filter(isHolder), ...others];
  return sorted as [TestNode, TestNode, TestNode];
}

test('two nodes that stop at once cut no stream and leave the lists', () =>
  // Guards against truncated streams, and callers sent to stopped nodes, when
  // two of three nodes stop at once under load.
  withCluster(3, async ({nodes}) => {
    const [first, second, third] = holderFirst(nodes);
    const readAll = await beginStreams([first, first, second, second]);
    first.node.requestStop('SIGTERM');
    second.node.requestStop('SIGTERM');
    await waitUntil(async () => (await listEntryNames(third)).length === 1);
    assert.equal(await listEntryNames(third), [third.nodeName]);
    assert.is(await chat(first, 2), expectedText(2));
    const texts = await readAll();
    assert.ok(texts.every(text => text === expectedText(LONG_STREAM_TOKENS)));
    assert.equal(
      await Promise.all([first.node.stopped, second.node.stopped]),
      [0, 0],
    );
    const [report] = first.logger.fieldsOf('stewardship-yielded');
    assert.equal(report?.backendServerIds, ['r1']);
    assert.is(await chat(third, 2), expectedText(2));
  }));

test('a stop during a log outage cuts no stream and does not hang', () =>
  // Guards against a stop that waits for records, or cuts streams, while the
  // log is down.
  withCluster(2, async ({platform, nodes}) => {
    const [first, second] = holderFirst(nodes);
    const readAll = await beginStreams([first, first]);
    platform.core.log.faults.set({down: true});
    await waitUntil(
      async () => first.logger.fieldsOf('log-unavailable').length > 0,
    );
    first.node.requestStop('SIGTERM');
    const texts = await readAll();
    assert.ok(texts.every(text => text === expectedText(LONG_STREAM_TOKENS)));
    assert.is(await first.node.stopped, 0);
    assert.equal(first.logger.fieldsOf('shutdown-cut-off'), []);
    const [report] = first.logger.fieldsOf('stewardship-yielded');
    assert.equal(report?.keptIds, ['r1']);
    assert.is(report?.reason, 'log-unavailable');
    assert.is(await chat(second, 2), expectedText(2));
  }));

test('a node that is stopped during startup exits', async () => {
  // Guards against a hang, or a node listed without ever being ready, when the
  // stop is requested during startup.
  const platform = await startPlatformStandIn();
  const {node, logger} = createNode('node-0', platform.baseUrl);
  const starting = node.start();
  node.requestStop('SIGTERM');
  assert.is(await starting, null);
  assert.is(await node.stopped, 0);
  assert.is(logger.fieldsOf('shutdown-finished').length, 1);
  await platform.close();
});

test.run();
