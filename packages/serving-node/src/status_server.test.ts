import {type AddressInfo, createServer} from 'node:net';
import {once} from 'node:events';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {type EntryQuery} from './entry_list.js';
import {StatusServer} from './status_server.js';

const test = suite('status server');

// Guards against answers that ignore where the caller is.
test('the query of a caller that asks for addresses is passed on', async () => {
  const queries: EntryQuery[] = [];
  const status = new StatusServer({
    platform: {
      ...{readyPath: '/ready', entriesPath: '/resolve'},
      formatEntries: () => '{}',
      readEntriesQuery: query => ({region: null, failureDomain: query}),
    },
    isReady: () => true,
    listEntries: query => {
      queries.push(query);
      return {addresses: [], ttlMs: 0};
    },
    formatMetrics: () => Promise.resolve(''),
  });
  const free = createServer().listen(0, '127.0.0.1');
  await once(free, 'listening');
  const {port} = free.address() as AddressInfo;
  free.close();
  await status.listen({ip: '127.0.0.1', port});
  await fetch(`http://127.0.0.1:${port}/resolve?zone=a?b`);
  await fetch(`http://127.0.0.1:${port}/resolve`);
  status.close();
  const domains = queries.map(({failureDomain}) => failureDomain);
  assert.equal(domains, ['zone=a?b', '']);
});

test.run();
