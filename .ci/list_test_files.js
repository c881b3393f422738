/** Lists the built test files, as uvu names them. */
import {existsSync, readdirSync} from 'node:fs';

/** @returns {string[]} one for each test file in the sources */
export function listTestFiles() {
  const packages = readdirSync('packages').map(name => `packages/${name}`);
  return [...packages, 'platform'].flatMap(folder => {
    const directory = `${folder}/src`;
    if (!existsSync(directory)) return [];
    return readdirSync(directory, {recursive: true})
      .filter(file => file.endsWith('.test.ts'))
      .map(file => `${folder}/dist/${file.replace(/\.ts$/, '.js')}`);
  });
}
