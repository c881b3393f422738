import {readFileSync} from 'node:fs';
import {createServer} from 'node:http';
import {type AddressInfo} from 'node:net';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {EXIT_CODES, listCommandPaths} from './index.js';
import {
  createFixture,
  makeUnresponsiveNode,
  runWith,
} from './testing_fixture.js';

const FILES = {
  'team.json': {displayName: 'Zorza'},
  'model.json': {pool: 'lm-pool', version: 'v1', memoryMib: 100},
  'template.json': {
    team: 'zorza',
    parameters: {
      start: {type: 'time'},
      replicas: {type: 'number', default: 1, max: 4},
    },
    event: {
      startsAt: '${start}',
      durationMinutes: 30,
      needs: [{model: 'alert-writer', replicas: '${replicas}'}],
    },
  },
  'broken.json': '{"team":',
};

async function createFixtureWithDocuments() {
  const fixture = await createFixture();
  await fixture.run('team put zorza team.json', FILES);
  await fixture.run('model put alert-writer model.json', FILES);
  await fixture.run('template put sky template.json', FILES);
  return fixture;
}

/** Reads each request, then closes the connection without a response. */
async function startDisconnectingServer() {
  let requests = 0;
  const server = createServer(incoming => {
    requests += 1;
    incoming.resume().on('end', () => incoming.socket.destroy());
  });
  await new Promise<void>(resolve => server.listen(0, '127.0.0.1', resolve));
  const {port} = server.address() as AddressInfo;
  const close = () =>
    new Promise<void>(resolve => server.close(() => resolve()));
  const baseUrl = `http://127.0.0.1:${port}`;
  return {baseUrl, countRequests: () => requests, close};
}

const commands = suite('mimosatack');

commands('an event is created, changed and cancelled', async () => {
  const {run, close} = await createFixtureWithDocuments();
  const created = await run(
    'event create tonight --template sky --param start=2030-01-01T18:00:00Z --param replicas=2 --reason aurora --wait',
  );
  assert.is(created.exitCode, EXIT_CODES.ok, created.stderr);
  const status = await run('event status tonight');
  assert.match(status.stdout, /0 of 2 replicas warm/);
  await run('event change tonight --param replicas=3');
  const shown = await run('event show tonight --json');
  const {content} = JSON.parse(shown.stdout) as {
    content: {parameters: unknown};
  };
  assert.equal(content.parameters, {
    start: '2030-01-01T18:00:00Z',
    replicas: 3,
  });
  assert.is((await run('event cancel tonight')).exitCode, EXIT_CODES.ok);
  assert.is((await run('event show tonight')).exitCode, EXIT_CODES.refused);
  await close();
});

commands('list prints a table, or JSON with --json', async () => {
  const {run, close} = await createFixtureWithDocuments();
  const table = await run('team list');
  assert.match(table.stdout, /^id +version +displayName\nzorza +1 +Zorza\n$/);
  const json = JSON.parse((await run('team list --json')).stdout) as {
    items: {id: string}[];
  };
  assert.equal(
    json.items.map(item => item.id),
    ['zorza'],
  );
  await close();
});

commands('audit --diff shows the changed fields', async () => {
  const {run, close} = await createFixtureWithDocuments();
  const files = {'team.json': {displayName: 'Zorza Obserwatorów'}};
  await run('team put zorza team.json --reason name', files);
  const audit = await run('audit --kind team --diff --limit 1');
  assert.match(audit.stdout, /bootstrap put team zorza: in force \(name\)/);
  assert.match(audit.stdout, /displayName: "Zorza" -> "Zorza Obserwatorów"/);
  await close();
});

commands('a token is printed once, and only its hash is stored', async () => {
  const {run, follower, close} = await createFixtureWithDocuments();
  const added = await run('team token add zorza ola --role operator');
  assert.is(added.stdout, 'a-new-token\n');
  const stored = follower.state.configuration.find('team', 'zorza');
  assert.not.match(JSON.stringify(stored), /a-new-token/);
  const token = {MIMOSATACK_TOKEN: 'a-new-token'};
  assert.is((await run('status', {}, token)).exitCode, EXIT_CODES.ok);
  await run('team token remove zorza ola');
  assert.is((await run('status', {}, token)).exitCode, EXIT_CODES.refused);
  await close();
});

commands.run();

const exitCodes = suite('mimosatack: exit codes');

exitCodes('1: a refusal prints the remedy', async () => {
  const {run, close} = await createFixtureWithDocuments();
  const refused = await run('event show tomorrow');
  assert.is(refused.exitCode, EXIT_CODES.refused);
  assert.is(refused.stdout, '');
  assert.match(refused.stderr, /^not-found: .*\nCheck the name/);
  const tried = await run('template validate sky team.json', FILES);
  assert.is(tried.exitCode, EXIT_CODES.refused);
  await close();
});

exitCodes('2: the command line or a file is invalid', async () => {
  const {run, close} = await createFixtureWithDocuments();
  const lines = [
    'evnt list',
    'event create',
    'event list --team',
    'team put zorza broken.json',
    'team put zorza nowhere.json',
    'team put zorza team.json --expected-version one',
    'team token add zorza ola --role king',
    'event create x --template sky --param replicas=many',
    'event create x --template sky --param replicas',
    'in-force 0',
    'status --admin-url nonsense',
  ];
  const runs = await Promise.all(lines.map(line => run(line, FILES)));
  runs.forEach(({exitCode, stderr}, index) => {
    assert.is(exitCode, EXIT_CODES.usage, lines[index]);
    assert.ok(stderr, lines[index]);
  });
  assert.match(runs[0]?.stderr ?? '', /Did you mean "mimosatack event list"/);
  const bare = await runWith(['status']);
  assert.match(bare.stderr, /MIMOSATACK_ADMIN_URL/);
  await close();
});

// Guards against `--wait` reporting success while a node lacks the change.
exitCodes(
  '3: a change is not in force everywhere before the timeout',
  async () => {
    const {run, nodes, close} = await createFixtureWithDocuments();
    nodes.push(makeUnresponsiveNode('entry-2'));
    const line = 'team put zorza team.json --wait --timeout-seconds 0';
    const waited = await run(line, FILES);
    assert.is(waited.exitCode, EXIT_CODES.timedOut);
    assert.match(waited.stderr, /in force on 0 of 1 nodes; not on entry-2/);
    await close();
  },
);

exitCodes(
  '4: no node is reachable; with several URLs the next is tried',
  async () => {
    const {run, baseUrl, close} = await createFixtureWithDocuments();
    const unreachableUrl = 'http://127.0.0.1:1';
    const both = {MIMOSATACK_ADMIN_URL: `${unreachableUrl},${baseUrl}`};
    assert.is((await run('status', {}, both)).exitCode, EXIT_CODES.ok);
    const written = await run('team put aurora team.json', FILES, both);
    assert.is(written.exitCode, EXIT_CODES.ok, written.stderr);
    const none = await run(`status --admin-url ${unreachableUrl} --json`);
    assert.is(none.exitCode, EXIT_CODES.unreachable);
    assert.match(none.stderr, /^{"error":{"kind":"node-unreachable"/);
    await close();
  },
);

exitCodes('5: the expected version is outdated', async () => {
  const {run, close} = await createFixtureWithDocuments();
  const line = 'team put zorza team.json --expected-version 0';
  assert.is((await run(line, FILES)).exitCode, EXIT_CODES.conflict);
  await close();
});

// Guards against resending a change whose response was lost: the next node
// would report a conflict although the first node applied the change.
exitCodes('a change whose response is lost is not sent again', async () => {
  const {run, baseUrl, follower, close} = await createFixtureWithDocuments();
  const disconnecting = await startDisconnectingServer();
  const urls = {MIMOSATACK_ADMIN_URL: `${disconnecting.baseUrl},${baseUrl}`};
  const {sequence} = follower.state;
  const line = 'team put zorza team.json --expected-version 1';
  const lost = await run(line, FILES, urls);
  assert.is(lost.exitCode, EXIT_CODES.refused);
  assert.match(lost.stderr, /^outcome-unknown: [^]*Read it before/);
  assert.is(disconnecting.countRequests(), 1);
  assert.is(follower.state.sequence, sequence);
  assert.is((await run('team list', {}, urls)).exitCode, EXIT_CODES.ok);
  await disconnecting.close();
  await close();
});

exitCodes.run();

const settings = suite('mimosatack settings check');

settings('all faults are printed, without secret values', async () => {
  const flags = ['--node-name', 'a b', '--colour', 'red'];
  const env = {MIMOSATACK_CLUSTER_SECRET: 'short'};
  const checked = await runWith(['settings', 'check', ...flags], {}, env);
  assert.is(checked.exitCode, EXIT_CODES.refused);
  ['--node-name', '--colour', '--region', 'CLUSTER_SECRET'].forEach(name =>
    assert.ok(checked.stdout.includes(name), name),
  );
  assert.not.match(checked.stdout, /short"/);
});

settings.run();

const docs = suite('mimosatack: help and docs');

docs('the help and docs/operators/cli.md name every command', async () => {
  const {stdout} = await runWith(['--help']);
  const page = readFileSync(
    new URL('../../../docs/operators/cli.md', import.meta.url),
    'utf8',
  );
  const names = listCommandPaths()
    .map(path => path.replace('mimosatack ', ''))
    .filter(name => !name.startsWith('-') && name !== 'help');
  assert.equal(
    names.filter(name => !stdout.includes(name)),
    [],
  );
  assert.equal(
    names.filter(name => !page.includes(name)),
    [],
  );
});

docs('docs/operators/cli.md lists every exit code', () => {
  const page = readFileSync(
    new URL('../../../docs/operators/cli.md', import.meta.url),
    'utf8',
  );
  Object.values(EXIT_CODES).forEach(code =>
    assert.match(page, new RegExp(`^- ${code}: `, 'm')),
  );
});

const explaining = suite('explaining requests');

const LOG = {
  'entry-1.log': JSON.stringify({
    ...{time: '2026-03-01T18:00:00.000Z', nodeName: 'entry-1'},
    ...{eventName: 'request-finished', requestId: 'r1', result: 'refused'},
    ...{kind: 'not-found', reason: 'No route takes it.'},
  }),
};

explaining('a request in the logs is explained', async () => {
  const argv = ['explain', 'r1', 'entry-1.log'];
  const {exitCode, stdout} = await runWith(argv, LOG);
  assert.is(exitCode, EXIT_CODES.ok);
  assert.match(stdout, /Cause: entry-1 refused it .*No route takes it/);
  const json = await runWith([...argv, '--json'], LOG);
  const explained = JSON.parse(json.stdout) as {verdict: {result: string}};
  assert.is(explained.verdict.result, 'refused');
});

explaining(
  'an unknown request and an unreadable log are reported',
  async () => {
    const unknown = await runWith(['explain', 'r2', 'entry-1.log'], LOG);
    assert.is(unknown.exitCode, EXIT_CODES.refused);
    assert.match(unknown.stdout, /No line names r2/);
    const missing = await runWith(['explain', 'r1', 'entry-9.log'], LOG);
    assert.is.not(missing.exitCode, EXIT_CODES.ok);
    assert.match(missing.stderr, /entry-9\.log/);
  },
);

docs.run();
explaining.run();
