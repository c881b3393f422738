import {type ServiceRoute} from '@mimosatack/types';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {SeededRandom} from '@mimosatack/random';
import {pickService} from './pick_service.js';
import {RouteTable} from './route_table.js';
import {makeRoute} from './test_fixtures.js';

const test = suite('route table');

function makeTable(...prefixes: string[]): RouteTable {
  return new RouteTable(
    prefixes.map(pathPrefix => makeRoute({name: pathPrefix, pathPrefix})),
  );
}

test('finds the longest matching prefix of the host', () => {
  const table = makeTable('/a/', '/a/b/', '/');
  const find = (path: string): ServiceRoute['name'] | undefined =>
    table.find('lists.example', path)?.name;
  assert.is(find('/a/b/c'), '/a/b/');
  assert.is(find('/a/bc'), '/a/');
  assert.is(find('/x'), '/');
  assert.is(find('/a/b/?q=/z/'), '/a/b/');
});

test('ignores routes of other hosts and prefixes in the query', () => {
  const table = makeTable('/a/');
  assert.is(table.find('other.example', '/a/x'), undefined);
  assert.is(table.find('lists.example', '/x?/a/'), undefined);
  assert.ok(table.find('LISTS.example:8080', '/a/x'));
});

test('picks services by weight', () => {
  const random = new SeededRandom(7);
  const traffic = [
    {service: 'old', weight: 90},
    {service: 'new', weight: 10},
    {service: 'off', weight: 0},
  ];
  const drawn = Array.from({length: 2_000}, () => pickService(traffic, random));
  const share = drawn.filter(name => name === 'new').length / drawn.length;
  assert.ok(share > 0.07 && share < 0.13, `${share}`);
  assert.not(drawn.includes('off'));
  assert.is(pickService([], random), null);
});

test.run();
