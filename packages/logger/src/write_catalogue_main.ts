/** Writes docs/EVENTS.md; run by `npm run docs:events`. */
import {writeFileSync} from 'node:fs';
import {formatCatalogueAsMarkdown} from './catalogue_markdown.js';

const PAGE = new URL('../../../docs/EVENTS.md', import.meta.url);

writeFileSync(PAGE, formatCatalogueAsMarkdown());
