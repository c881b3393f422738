import {readFileSync, readdirSync} from 'node:fs';
import {fileURLToPath} from 'node:url';
import {TypedError} from '@mimosatack/errors';
import {suite} from 'uvu';
import * as assert from 'uvu/assert';
import {readScenario} from './scenario.js';

const test = suite('scenario files');

const FOLDER = fileURLToPath(new URL('../scenarios/', import.meta.url));

function readExample(name: string): string {
  return readFileSync(`${FOLDER}${name}`, 'utf8');
}

test('all examples can be read', () => {
  const names = readdirSync(FOLDER);
  assert.ok(names.length >= 4);
  names.forEach(name => readScenario(readExample(name), name));
});

test('all errors of a file are reported at once', () => {
  const text = readExample('crew_losing_engines.toml')
    .replace('engines = 8', 'engines = -8')
    .replace('slots = 64', 'slot = 64')
    .replace('hot_models = 2', 'hot_models = "two"');
  assert.throws(
    () => readScenario(text, 'faulty.toml'),
    (error: unknown) =>
      error instanceof TypedError &&
      error.remedy !== '' &&
      ['faulty.toml', 'engines', 'slot', 'hot_models'].every(name =>
        error.message.includes(name),
      ),
  );
});

test('inconsistent values are rejected', () => {
  const read = (from: string, to: string) => () =>
    readScenario(
      readExample('crew_losing_engines.toml').replace(from, to),
      'faulty.toml',
    );
  assert.throws(read('engine = 5', 'engine = 8'), /no such engine/);
  assert.throws(read('hot_models = 2', 'hot_models = 66'), /hot_models/);
  assert.throws(read('[deployment]', '[deployment'), /faulty.toml/);
});

test.run();
