import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {request} from 'undici';
import {startPlatformStandIn} from './platform_server.js';

const test = suite('platform stand-in');

async function withPlatform(
  body: (
    platform: Awaited<ReturnType<typeof startPlatformStandIn>>,
  ) => Promise<void>,
): Promise<void> {
  const platform = await startPlatformStandIn({keepRecords: 2});
  await body(platform).finally(() => platform.close());
}

function append(baseUrl: string, text: string, nodeId = 'n1') {
  return request(`${baseUrl}/v1/streams/s/records`, {
    method: 'POST',
    headers: {
      'content-type': 'application/octet-stream',
      'x-node-id': nodeId,
    },
    body: text,
  });
}

test('keeps a record whose answer is lost', () =>
  // Reproduces an append that succeeds although its writer sees a failure.
  withPlatform(async ({baseUrl, core}) => {
    core.log.faults.set({loseAppendAnswers: 1});
    await assertRejects(append(baseUrl, 'a'));
    const [record] = core.log.readHistory('s');
    assert.is(String(record?.data), 'a');
    assert.is(core.log.observe().streams[0]?.lostAnswers, 1);
    assert.equal(await (await append(baseUrl, 'b')).body.json(), {offset: 1});
  }));

test('cuts off one node and serves the others', () =>
  withPlatform(async ({baseUrl, core}) => {
    core.log.faults.set({cutNodes: ['n1']});
    await assertRejects(append(baseUrl, 'a', 'n1'));
    assert.is((await append(baseUrl, 'b', 'n2')).statusCode, 200);
    assert.is(core.log.readHistory('s').length, 1);
  }));

test('ends a long poll when the service goes down', () =>
  // Guards against a reader that waits out its long poll on a failed service.
  withPlatform(async ({baseUrl, core}) => {
    const url = `${baseUrl}/v1/streams/s/records?from=0&waitMs=60000`;
    const poll = request(url);
    await (await request(`${baseUrl}/v1/hosts`)).body.dump();
    core.setFaults({log: {down: true}});
    assert.is((await poll).statusCode, 503);
  }));

test('answers trimmed for records that are no longer kept', () =>
  withPlatform(async ({baseUrl, core}) => {
    ['a', 'b', 'c'].forEach(text => core.log.append('s', Buffer.from(text)));
    const answer = await request(`${baseUrl}/v1/streams/s/records?from=0`);
    const body = (await answer.body.json()) as {error: {info: object}};
    assert.is(answer.statusCode, 410);
    assert.equal(body.error.info, {firstOffset: 1});
  }));

async function assertRejects(promise: Promise<unknown>): Promise<void> {
  const outcome = await promise.then(
    () => 'resolved',
    () => 'rejected',
  );
  assert.is(outcome, 'rejected');
}

test.run();
