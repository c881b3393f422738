import fc from 'fast-check';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type EntryHost, hasUnevenHosts} from './entry_host.js';
import {selectEntryHosts} from './select_entry_hosts.js';

const test = suite('addresses by capacity');

const DOMAINS = ['a', 'b', 'c', 'd'];
const CORES = [0.243, 0.4, 0.7, 1, 1.35];

function makeHost(index: number, change: Partial<EntryHost> = {}): EntryHost {
  return {
    name: `host-${index}`,
    address: {ip: '127.0.0.1', port: index},
    failureDomain: DOMAINS[index % DOMAINS.length] ?? '',
    cores: CORES[index % CORES.length] ?? 1,
    isServing: true,
    ...change,
  };
}

function makeHosts(count: number): EntryHost[] {
  return Array.from({length: count}, (_, index) => makeHost(index));
}

const arbitraryHosts = fc
  .array(
    fc.record({
      failureDomain: fc.constantFrom(...DOMAINS),
      cores: fc.constantFrom(0, ...CORES),
      isServing: fc.boolean(),
    }),
    {minLength: 1, maxLength: 90},
  )
  .map(hosts => hosts.map((host, index) => makeHost(index, host)));
const arbitraryDomain = fc.constantFrom(null, 'elsewhere', ...DOMAINS);

function selectPorts(
  hosts: readonly EntryHost[],
  callerDomain: string | null,
  askedHost: string,
): number[] {
  const addresses = selectEntryHosts({hosts, callerDomain, askedHost});
  return addresses.map(({port}) => port);
}

/** Load by port, when each caller asks one of `asked` and picks uniformly. */
function findLoads(
  hosts: readonly EntryHost[],
  callerDomain: string | null,
  asked: readonly EntryHost[],
): number[] {
  const loads = hosts.map(() => 0);
  asked.forEach(({name}) => {
    const ports = selectPorts(hosts, callerDomain, name);
    ports.forEach(
      port => (loads[port] = (loads[port] ?? 0) + 1 / ports.length),
    );
  });
  return loads;
}

/** The highest load by core over the mean. */
function findExcess(
  hosts: readonly EntryHost[],
  loads: readonly number[],
): number {
  const cores = hosts.reduce((sum, host) => sum + host.cores, 0);
  const load = loads.reduce((sum, each) => sum + each, 0);
  const byCore = hosts.map(
    host => ((loads[host.address.port] ?? 0) / host.cores) * (cores / load),
  );
  return Math.max(...byCore);
}

const inDomain = (hosts: readonly EntryHost[], domain: string) =>
  hosts.filter(({failureDomain}) => failureDomain === domain);

// Guards against callers that are left without an address, or with that of a lost host.
test('an answer has serving hosts only, and enough of them', () => {
  fc.assert(
    fc.property(arbitraryHosts, arbitraryDomain, (hosts, domain) => {
      const ports = selectPorts(hosts, domain, 'host-0');
      const serving = hosts.filter(({isServing}) => isServing);
      assert.is(new Set(ports).size, ports.length);
      assert.ok(ports.length >= Math.max(1, Math.min(3, serving.length)));
      if (domain === null) assert.ok(ports.length >= serving.length / 3);
      if (serving.length === 0) return assert.equal(ports, [0]);
      assert.ok(ports.every(port => hosts[port]?.isServing));
    }),
  );
});

// Guards against small hosts that get as many connections as large ones.
test('all asked hosts together load hosts by their cores', () => {
  const hosts = makeHosts(75);
  const all = findExcess(hosts, findLoads(hosts, null, hosts));
  assert.ok(all < 1.2, `${all} of the mean`);
  DOMAINS.forEach(domain => {
    const own = inDomain(hosts, domain);
    const loads = findLoads(hosts, domain, own);
    const excess = findExcess(own, loads);
    assert.ok(excess < 1.3, `${excess} of the mean in ${domain}`);
  });
});

// Guards against connections that close at many callers when one host is lost.
test('a host that comes or goes changes about one other address', () => {
  const hosts = makeHosts(75);
  const changes = hosts.flatMap(lost => {
    const fewer = hosts.filter(host => host !== lost);
    return fewer.map(({name}) => {
      const before = selectPorts(hosts, null, name);
      const after = new Set(selectPorts(fewer, null, name));
      const left = before.filter(port => !after.has(port));
      return left.filter(port => port !== lost.address.port).length;
    });
  });
  const mean = changes.reduce((sum, each) => sum + each, 0) / changes.length;
  assert.ok(mean < 1, `${mean} other addresses`);
  assert.ok(Math.max(...changes) <= 8, `${Math.max(...changes)} at most`);
});

// Guards against answers that differ between nodes that read the register differently.
test('the order of the hosts does not matter', () => {
  fc.assert(
    fc.property(arbitraryHosts, arbitraryDomain, (hosts, domain) => {
      const reversed = [...hosts].reverse();
      assert.equal(
        selectEntryHosts({hosts, callerDomain: domain, askedHost: 'host-1'}),
        selectEntryHosts({
          ...{hosts: reversed, callerDomain: domain, askedHost: 'host-1'},
        }),
      );
    }),
  );
});

// Guards against callers that leave their domain while it has capacity.
test('callers stay in their domain while 0.6 of its cores serve', () => {
  const hosts = makeHosts(75).map((host, index) =>
    index < 25 ? {...host, isServing: index % 4 !== 1} : host,
  );
  hosts.forEach(({name}) => {
    const ports = selectPorts(hosts, 'b', name);
    assert.ok(ports.every(port => hosts[port]?.failureDomain === 'b'));
  });
});

// Guards against a lost domain whose callers all go to the same few hosts.
test('the demand of a lost domain is spread over all others', () => {
  const hosts = makeHosts(75).map(host =>
    host.failureDomain === 'b' ? {...host, isServing: false} : host,
  );
  const others = hosts.filter(({isServing}) => isServing);
  const excess = findExcess(others, findLoads(hosts, 'b', others));
  assert.ok(excess < 1.7, `${excess} of the mean`);
});

// Guards against other answers where all hosts are alike or none names its cores.
test('only hosts of different capacity count as uneven', () => {
  const hasUneven = (...cores: number[]) =>
    hasUnevenHosts(cores.map(each => ({cores: each})));
  assert.ok(hasUneven(1, 1.5));
  assert.not(hasUneven(1, 1.4));
  assert.not(hasUneven(0, 1));
});

test.run();
