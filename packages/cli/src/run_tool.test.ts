import {readFileSync} from 'node:fs';
import {createServer} from 'node:http';
import {type AddressInfo} from 'node:net';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {EXIT_CODES, listCommandPaths} from './index.js';
import {createFixture, makeSilentNode, runWith} from './testing_fixture.js';

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

/** A node with a team, a model and a template. */
async function createPublished() {
  const fixture = await createFixture();
  await fixture.run('team put zorza team.json', FILES);
  await fixture.run('model put alert-writer model.json', FILES);
  await fixture.run('template put sky template.json', FILES);
  return fixture;
}

/** Takes each request in full and then cuts the connection. */
async function startCuttingServer() {
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

const jobs = suite('mimosatack');

jobs('an event goes from its template to cancelled', async () => {
  const {run, close} = await createPublished();
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

jobs('a table is for people and --json for programs', async () => {
  const {run, close} = await createPublished();
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

jobs('the audit trail shows what a change changed', async () => {
  const {run, close} = await createPublished();
  const files = {'team.json': {displayName: 'Zorza Obserwatorów'}};
  await run('team put zorza team.json --reason name', files);
  const audit = await run('audit --kind team --diff --limit 1');
  assert.match(audit.stdout, /bootstrap put team zorza: in force \(name\)/);
  assert.match(audit.stdout, /displayName: "Zorza" -> "Zorza Obserwatorów"/);
  await close();
});

jobs('a token is printed once, and only its hash is stored', async () => {
  const {run, follower, close} = await createPublished();
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

jobs.run();

const exits = suite('mimosatack: exit codes');

exits('1: the node refuses, and says what to do', async () => {
  const {run, close} = await createPublished();
  const refused = await run('event show tomorrow');
  assert.is(refused.exitCode, EXIT_CODES.refused);
  assert.is(refused.stdout, '');
  assert.match(refused.stderr, /^not-found: .*\nCheck the name/);
  const tried = await run('template validate sky team.json', FILES);
  assert.is(tried.exitCode, EXIT_CODES.refused);
  await close();
});

exits('2: the command line or a file is not right', async () => {
  const {run, close} = await createPublished();
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

/**
 * A change is accepted while one node hears nothing. With `--wait` the tool
 * must not claim that the change is in force everywhere; it names the node
 * and ends with a code of its own.
 */
exits('3: a change is not in force everywhere in time', async () => {
  const {run, nodes, close} = await createPublished();
  nodes.push(makeSilentNode('entry-2'));
  const line = 'team put zorza team.json --wait --timeout-seconds 0';
  const waited = await run(line, FILES);
  assert.is(waited.exitCode, EXIT_CODES.timedOut);
  assert.match(waited.stderr, /in force on 0 of 1 nodes; not on entry-2/);
  await close();
});

exits('4: no node is reachable; of several the next is tried', async () => {
  const {run, baseUrl, close} = await createPublished();
  const gone = 'http://127.0.0.1:1';
  const both = {MIMOSATACK_ADMIN_URL: `${gone},${baseUrl}`};
  assert.is((await run('status', {}, both)).exitCode, EXIT_CODES.ok);
  const written = await run('team put aurora team.json', FILES, both);
  assert.is(written.exitCode, EXIT_CODES.ok, written.stderr);
  const none = await run(`status --admin-url ${gone} --json`);
  assert.is(none.exitCode, EXIT_CODES.unreachable);
  assert.match(none.stderr, /^{"error":{"kind":"node-unreachable"/);
  await close();
});

exits('5: another change was first', async () => {
  const {run, close} = await createPublished();
  const line = 'team put zorza team.json --expected-version 0';
  assert.is((await run(line, FILES)).exitCode, EXIT_CODES.conflict);
  await close();
});

/**
 * A node takes a change in full and dies before it answers. Sending the
 * change to the next node would end in a conflict with itself, and the
 * operator would believe that it failed; it must be told to look first.
 */
exits('a change whose answer is lost is not sent again', async () => {
  const {run, baseUrl, follower, close} = await createPublished();
  const cutting = await startCuttingServer();
  const urls = {MIMOSATACK_ADMIN_URL: `${cutting.baseUrl},${baseUrl}`};
  const {sequence} = follower.state;
  const line = 'team put zorza team.json --expected-version 1';
  const lost = await run(line, FILES, urls);
  assert.is(lost.exitCode, EXIT_CODES.refused);
  assert.match(lost.stderr, /^outcome-unknown: [^]*Read it before/);
  assert.is(cutting.countRequests(), 1);
  assert.is(follower.state.sequence, sequence);
  assert.is((await run('team list', {}, urls)).exitCode, EXIT_CODES.ok);
  await cutting.close();
  await close();
});

exits.run();

const settings = suite('mimosatack settings check');

settings('all faults are told, and secrets are not', async () => {
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

docs('docs/operators/cli.md tells every exit code', () => {
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

explaining('a request that a log names is explained', async () => {
  const argv = ['explain', 'r1', 'entry-1.log'];
  const {exitCode, stdout} = await runWith(argv, LOG);
  assert.is(exitCode, EXIT_CODES.ok);
  assert.match(stdout, /Cause: entry-1 refused it .*No route takes it/);
  const json = await runWith([...argv, '--json'], LOG);
  const told = JSON.parse(json.stdout) as {verdict: {result: string}};
  assert.is(told.verdict.result, 'refused');
});

explaining('an unknown request and an unreadable log are told', async () => {
  const unknown = await runWith(['explain', 'r2', 'entry-1.log'], LOG);
  assert.is(unknown.exitCode, EXIT_CODES.refused);
  assert.match(unknown.stdout, /No line names r2/);
  const missing = await runWith(['explain', 'r1', 'entry-9.log'], LOG);
  assert.is.not(missing.exitCode, EXIT_CODES.ok);
  assert.match(missing.stderr, /entry-9\.log/);
});

docs.run();
explaining.run();
