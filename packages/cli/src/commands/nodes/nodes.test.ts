import {type AddressInfo} from 'node:net';
import {createServer} from 'node:http';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {EXIT_CODES} from '../../exit_codes.js';
import {runWith} from '../../testing_fixture.js';

const test = suite('nodes');

function formatMetrics(version: number, duties: number): string {
  return [
    '# TYPE mimosatack_configuration_version gauge',
    `mimosatack_configuration_version ${version}`,
    '# TYPE mimosatack_duties_held gauge',
    `mimosatack_duties_held ${duties}`,
    '# TYPE mimosatack_servers_known gauge',
    'mimosatack_servers_known 17',
    '# TYPE mimosatack_containment_contained gauge',
    'mimosatack_containment_contained 2',
    '',
  ].join('\n');
}

/** Serves each text at a URL of its own while `use` runs. */
async function withNodes(
  texts: readonly string[],
  use: (urls: string[]) => Promise<void>,
): Promise<void> {
  const servers = texts.map(text =>
    createServer((_request, response) => response.end(text)),
  );
  try {
    const urls = await Promise.all(
      servers.map(
        server =>
          new Promise<string>(resolve =>
            server.listen(0, '127.0.0.1', () => {
              const {port} = server.address() as AddressInfo;
              resolve(`http://127.0.0.1:${port}`);
            }),
          ),
      ),
    );
    await use(urls);
  } finally {
    servers.forEach(server => {
      server.close();
      server.closeAllConnections();
    });
  }
}

test('the number of contained requests is shown', () =>
  withNodes([formatMetrics(7, 1)], async urls => {
    const {stdout} = await runWith(['nodes', ...urls]);
    assert.match(stdout, / contained /);
    assert.match(stdout, /yes +7 +17 .*2/);
  }));

// Guards against quota refusals that the state of the nodes does not explain.
test('the remaining quota of each team is shown', () => {
  const teams = [
    '# TYPE mimosatack_configuration_age_ms gauge',
    'mimosatack_configuration_age_ms 480',
    '# TYPE mimosatack_quotas_rate gauge',
    'mimosatack_quotas_rate{team="link"} 4200',
    '# TYPE mimosatack_quotas_level gauge',
    'mimosatack_quotas_level{team="link"} -120.4',
    '# TYPE mimosatack_quotas_unsettled gauge',
    'mimosatack_quotas_unsettled{team="link"} 200',
    '',
  ].join('\n');
  return withNodes(
    [formatMetrics(7, 1) + teams, formatMetrics(7, 0) + teams],
    async urls => {
      const {stdout} = await runWith(['nodes', ...urls]);
      assert.match(stdout, /yes +7 +17 .*480/);
      assert.match(stdout, /link +4200 +-120 +400/);
    },
  );
});

test('the scheduling node and all configuration versions are shown', () =>
  withNodes([formatMetrics(7, 1), formatMetrics(7, 0)], async urls => {
    const {exitCode, stdout} = await runWith(['nodes', ...urls]);
    assert.is(exitCode, EXIT_CODES.ok);
    assert.match(stdout, /\/metrics +yes +7 +17/);
    assert.match(stdout, /\/metrics +no +7 +17/);
  }));

// Guards against overlooking a partitioned node that keeps an old configuration
// and still schedules.
test('differing and unreachable nodes are reported', () =>
  withNodes([formatMetrics(7, 1), formatMetrics(6, 1)], async urls => {
    const argv = ['nodes', ...urls, 'http://127.0.0.1:1', '--json'];
    const {exitCode, stdout} = await runWith(argv);
    assert.is(exitCode, EXIT_CODES.refused);
    const {faults} = JSON.parse(stdout) as {faults: string[]};
    assert.is(faults.length, 3);
  }));

test('an invalid address is refused with a remedy', async () => {
  const {exitCode, stderr} = await runWith(['nodes', '10.1.0.38']);
  assert.is(exitCode, EXIT_CODES.usage);
  assert.match(stderr, /give one like http:/);
});

test.run();
