/** Writes docs/operators/settings.md; run by `npm run docs:settings`. */
import {mkdirSync, writeFileSync} from 'node:fs';
import {formatSettingsAsMarkdown} from './format_settings.js';

const DIRECTORY = new URL('../../../docs/operators/', import.meta.url);

mkdirSync(DIRECTORY, {recursive: true});
writeFileSync(new URL('settings.md', DIRECTORY), formatSettingsAsMarkdown());
