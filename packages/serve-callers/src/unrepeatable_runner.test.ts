import {type AddressInfo} from 'node:net';
import {ClaimKeys} from '@mimosatack/claim-keys';
import {type Clock, SystemClock, sleep} from '@mimosatack/clock';
import {exchangeOnce} from '@mimosatack/dispatch-requests';
import {TypedError, formatErrorBody, toTypedError} from '@mimosatack/errors';
import {HttpLogService} from '@mimosatack/platform';
import {SeededRandom} from '@mimosatack/random';
import {startPlatformStandIn, startServiceStandIn} from '@mimosatack/stand-ins';
import {
  InheritedTickets,
  TicketSigner,
  TicketTable,
  generationAt,
  makeTicketPages,
} from '@mimosatack/unrepeatable';
import fastify from 'fastify';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {FORWARDED_HEADER} from './unrepeatable_forward.js';
import {type StartRun} from './unrepeatable_request.js';
import {UnrepeatableRunner} from './unrepeatable_runner.js';

const TEAM = 'pantry';
const PATH = '/call';

type Cluster = Awaited<ReturnType<typeof createCluster>>;

interface CallerResult {
  /** The kind and run of a refusal, or the status code. */
  outcome: string;
  isReplay: boolean;
}

/** Nodes that share a log and a service; each is a runner with a server. */
async function createCluster() {
  const clock: Clock = new SystemClock();
  const platform = await startPlatformStandIn();
  const service = await startServiceStandIn({runMs: 1});
  const mint = new TicketSigner('a secret of the cluster');
  const baseUrls = new Map<string, string>();
  const inheritedTickets = new InheritedTickets();
  const cleanups: Array<() => Promise<unknown>> = [];
  const hints = {partitionOwner: ''};

  const start = async (incarnation: string, port = 0) => {
    const log = new HttpLogService({
      baseUrl: platform.baseUrl,
      nodeId: incarnation,
      timeoutMs: 500,
      connections: 8,
    });
    const claims = new ClaimKeys({
      clock,
      random: new SeededRandom(1),
      log,
      incarnation,
      isAlive: other => baseUrls.has(other),
      options: {
        partitionCount: 1,
        appendGapMs: 1,
        retryDelayMs: 5,
        longPollMs: 100,
      },
    });
    const tickets = new TicketTable({clock});
    const find = (name: string) => {
      const baseUrl = baseUrls.get(name);
      return baseUrl === undefined ? null : {incarnation: name, baseUrl};
    };
    const runner = new UnrepeatableRunner({
      clock,
      nodeName: incarnation,
      incarnation,
      mint,
      tickets,
      claims,
      owners: {
        findProcess: find,
        findPartitionOwner: () =>
          hints.partitionOwner === incarnation
            ? null
            : find(hints.partitionOwner),
        askSuccessors: async query => inheritedTickets.find(query),
      },
    });
    let startRun: StartRun = ({signal}) =>
      exchangeOnce({
        baseUrl: service.baseUrl,
        path: '/calls/ping',
        method: 'POST',
        headers: {},
        body: Buffer.from('{"id":7}'),
        connectTimeoutMs: 500,
        maxAnswerBytes: 10_000,
        signal,
      });
    const server = fastify({forceCloseConnections: true});
    server.setErrorHandler((thrown, _incoming, reply) => {
      void reply.code(500).send(formatErrorBody(toTypedError(thrown)));
    });
    let frozen = Promise.resolve();
    server.post(PATH, async ({headers, body}, reply) => {
      await frozen;
      const {answer, headers: extra} = await runner.run(
        {
          team: TEAM,
          idempotencyKey: (headers['idempotency-key'] as string) ?? null,
          path: PATH,
          body: Buffer.from(JSON.stringify(body ?? {})),
          expiresAtMs:
            clock.monotonicMs() +
            Number(headers['x-request-timeout-ms'] ?? 3_000),
          headers: {'content-type': 'application/json'},
          isForwarded: headers[FORWARDED_HEADER] !== undefined,
        },
        terms => startRun(terms),
      );
      return reply
        .code(answer.statusCode)
        .headers(extra)
        .send(Buffer.from(answer.body));
    });
    await server.listen({host: '127.0.0.1', port});
    const {port: usedPort} = server.server.address() as AddressInfo;
    const baseUrl = `http://127.0.0.1:${usedPort}`;
    baseUrls.set(incarnation, baseUrl);
    const kill = () => server.close();
    cleanups.push(
      () => claims.stop(0),
      () => log.close(),
      kill,
    );
    return {
      incarnation,
      baseUrl,
      port: usedPort,
      tickets,
      claims,
      kill,
      /** Delays requests until the returned function is called. */
      freeze: () => {
        let thaw: () => void = () => undefined;
        frozen = new Promise(resolve => (thaw = resolve));
        return () => thaw();
      },
      setStart: (other: StartRun) => (startRun = other),
      prefix: mint.makePrefix(incarnation, generationAt(clock.wallMs())),
    };
  };

  const close = async () => {
    await Promise.all(cleanups.map(cleanup => cleanup()));
    await service.close();
    await platform.close();
  };
  return {
    clock,
    platform,
    service,
    baseUrls,
    inheritedTickets,
    hints,
    start,
    close,
  };
}

async function send(
  {baseUrl}: {baseUrl: string},
  key: string | null,
  extra: {body?: object; timeoutMs?: number} = {},
): Promise<CallerResult> {
  const answer = await fetch(baseUrl + PATH, {
    method: 'POST',
    headers: {
      'content-type': 'application/json',
      ...(key === null ? {} : {'idempotency-key': key}),
      'x-request-timeout-ms': String(extra.timeoutMs ?? 3_000),
    },
    body: JSON.stringify(extra.body ?? {}),
  });
  const json = (await answer.json()) as {error?: {kind: string; run: string}};
  return {
    outcome: json.error
      ? `${json.error.kind} ${json.error.run}`
      : String(answer.status),
    isReplay: answer.headers.get('idempotent-replayed') === 'true',
  };
}

function makeDatedKey(seed: number, issuedAtMs = Date.now()): string {
  const date = issuedAtMs.toString(16).padStart(12, '0');
  const tail = seed.toString(16).padStart(12, '0');
  return `${date.slice(0, 8)}-${date.slice(8)}-7000-8000-${tail}`;
}

function countRuns({service}: Cluster): number {
  return service.core.observe().runs.length;
}

const test = suite('unrepeatable runner');

function testCluster(
  name: string,
  body: (cluster: Cluster) => Promise<void>,
): void {
  test(name, async () => {
    const cluster = await createCluster();
    await body(cluster).finally(() => cluster.close());
  });
}

testCluster('a ticket runs in the process that issued it', async cluster => {
  // Guards against a second run when a caller repeats at another node.
  const [a, b] = [await cluster.start('a'), await cluster.start('b')];
  const key = `${a.prefix}order-17`;
  assert.equal(await send(b, key), {outcome: '200', isReplay: false});
  assert.equal(await send(a, key), {outcome: '200', isReplay: true});
  assert.equal(await send(b, key), {outcome: '200', isReplay: true});
  assert.is(
    (await send(b, key, {body: {other: 1}})).outcome,
    'key-reused unknown',
  );
  assert.is(countRuns(cluster), 1);
});

testCluster('a ticket is unknown after a node restart', async cluster => {
  // Guards against a second run or a wrong `not-run` by a restarted process
  // without the ticket's history.
  const [a, b] = [await cluster.start('a'), await cluster.start('b')];
  const key = `${a.prefix}order-17`;
  await send(a, key);
  await a.kill();
  const again = await cluster.start('a2', a.port);
  assert.is((await send(again, key)).outcome, 'outcome-unknown unknown');
  assert.is((await send(b, key)).outcome, 'outcome-unknown unknown');
  cluster.baseUrls.delete('a');
  assert.is((await send(b, key)).outcome, 'outcome-unknown unknown');
  assert.is(countRuns(cluster), 1);
});

testCluster('inherited tickets answer for a stopped process', async cluster => {
  const [a, b] = [await cluster.start('a'), await cluster.start('b')];
  const key = `${a.prefix}order-17`;
  await send(a, key);
  a.tickets.close();
  const {floorGeneration, keys} = a.tickets.export();
  makeTicketPages('a', floorGeneration, keys).forEach(page =>
    cluster.inheritedTickets.addPage(page),
  );
  await a.kill();
  assert.equal(await send(b, key), {outcome: '200', isReplay: true});
  assert.is(
    (await send(b, `${a.prefix}order-18`)).outcome,
    'shutting-down not-run',
  );
  assert.is(countRuns(cluster), 1);
});

testCluster('a key sent to three nodes at once runs once', async cluster => {
  // Guards against several runs when two nodes consider themselves the owner
  // and a third one forwards.
  const nodes = [
    await cluster.start('a'),
    await cluster.start('b'),
    await cluster.start('c'),
  ];
  const key = makeDatedKey(1);
  const seen = await Promise.all(nodes.map(node => send(node, key)));
  assert.ok(seen.every(({outcome}) => outcome === '200'));
  cluster.hints.partitionOwner = 'a';
  const other = makeDatedKey(2);
  const passed = await Promise.all(nodes.map(node => send(node, other)));
  assert.ok(passed.every(({outcome}) => outcome === '200'));
  assert.is(countRuns(cluster), 2);
});

testCluster('keys survive the crash of their owner', async cluster => {
  const [a, b] = [await cluster.start('a'), await cluster.start('b')];
  cluster.hints.partitionOwner = 'a';
  const [known, fresh] = [makeDatedKey(1), makeDatedKey(2)];
  await send(b, known);
  await a.kill();
  assert.equal(await send(b, known), {outcome: '200', isReplay: true});
  assert.equal(await send(b, fresh), {outcome: '200', isReplay: false});
  assert.is(countRuns(cluster), 2);
});

testCluster('a frozen owner turns not-run into unknown', async cluster => {
  // Guards against a wrong `not-run`: the owner can still run the request that
  // was forwarded before it froze.
  const [a, b] = [await cluster.start('a'), await cluster.start('b')];
  cluster.hints.partitionOwner = 'a';
  const thaw = a.freeze();
  b.setStart(async () => {
    throw new TypedError('overloaded', 'full', {run: 'not-run'});
  });
  const seen = await send(b, makeDatedKey(1), {timeoutMs: 600});
  assert.is(seen.outcome, 'overloaded unknown');
  thaw();
  while (countRuns(cluster) === 0) await sleep(cluster.clock, 5);
});

testCluster('a crash after the claim leaves a key unknown', async cluster => {
  // Guards against a second run or a `not-run` for a request whose node crashed
  // between the claim and the outcome.
  const [a, b] = [await cluster.start('a'), await cluster.start('b')];
  const key = makeDatedKey(1);
  let claimed: () => void = () => undefined;
  const isClaimed = new Promise<void>(resolve => (claimed = resolve));
  a.setStart(() => {
    claimed();
    return new Promise(() => undefined);
  });
  const lost = send(a, key).catch(() => undefined);
  await isClaimed;
  cluster.baseUrls.delete('a');
  await a.kill();
  assert.is((await send(b, key)).outcome, 'outcome-unknown unknown');
  assert.is(b.claims.counters.orphaned, 1);
  assert.is(countRuns(cluster), 0);
  await lost;
});

testCluster('without the log, tickets run and claims fail', async cluster => {
  // Guards against failing tickets during a log outage, and against a `not-run`
  // for a caller-generated key that may have run at another node.
  const a = await cluster.start('a');
  await send(a, makeDatedKey(1));
  cluster.platform.core.log.faults.set({down: true});
  while (a.claims.listStatus()[0]?.isFailing !== true) {
    await sleep(cluster.clock, 5);
  }
  assert.is((await send(a, `${a.prefix}order-17`)).outcome, '200');
  assert.is(
    (await send(a, makeDatedKey(2))).outcome,
    'log-unavailable unknown',
  );
  assert.is(countRuns(cluster), 2);
});

testCluster('an answer lost after the run stays unknown', async cluster => {
  const [a, b] = [await cluster.start('a'), await cluster.start('b')];
  const keys = [`${a.prefix}order-17`, makeDatedKey(1)];
  for (const key of keys) {
    cluster.service.core.faults.set({resetAfterRun: 1});
    assert.is((await send(a, key)).outcome, 'outcome-unknown unknown');
    assert.is((await send(b, key)).outcome, 'outcome-unknown unknown');
    assert.is((await send(a, key)).outcome, 'outcome-unknown unknown');
  }
  assert.is(countRuns(cluster), 2);
});

testCluster('a request that was not sent may run later', async cluster => {
  const [a, b] = [await cluster.start('a'), await cluster.start('b')];
  const keys = [`${a.prefix}order-17`, makeDatedKey(1)];
  a.setStart(async () => {
    throw new TypedError('overloaded', 'full', {run: 'not-run'});
  });
  assert.is((await send(a, keys[0]!)).outcome, 'overloaded not-run');
  assert.is((await send(a, keys[1]!)).outcome, 'overloaded not-run');
  assert.is((await send(b, keys[1]!)).outcome, '200');
  assert.is(countRuns(cluster), 1);
});

testCluster('a repeat after a timeout gets the outcome', async cluster => {
  // Guards against discarding the answer of a run that outlasts the deadline.
  const a = await cluster.start('a');
  const key = `${a.prefix}order-17`;
  cluster.service.core.gate.freeze(null);
  const seen = await send(a, key, {timeoutMs: 60});
  assert.is(seen.outcome, 'outcome-unknown unknown');
  cluster.service.core.gate.thaw();
  assert.equal(await send(a, key), {outcome: '200', isReplay: true});
  assert.is(countRuns(cluster), 1);
});

testCluster('invalid keys get the correct run outcome', async cluster => {
  const a = await cluster.start('a');
  const forged = `${a.prefix}17`.replace('~a~', '~b~');
  const ahead = makeDatedKey(1, Date.now() + 3_600_000);
  const old = makeDatedKey(1, 0);
  assert.is((await send(a, null)).outcome, 'bad-key not-run');
  assert.is((await send(a, 'order-17')).outcome, 'bad-key not-run');
  assert.is((await send(a, forged)).outcome, 'bad-key not-run');
  assert.is((await send(a, ahead)).outcome, 'bad-key unknown');
  assert.is((await send(a, old)).outcome, '200');
  assert.is(countRuns(cluster), 1);
});

test.run();
