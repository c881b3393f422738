/** Writes docs/operators/refusals.md; run by `npm run docs:refusals`. */
import {writeFileSync} from 'node:fs';
import {formatKindsAsMarkdown} from './kinds_markdown.js';

const PAGE = new URL('../../../docs/operators/refusals.md', import.meta.url);

writeFileSync(PAGE, formatKindsAsMarkdown());
