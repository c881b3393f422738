/** Writes docs/METRICS.md; run by `npm run docs:metrics`. */
import {writeFileSync} from 'node:fs';
import {formatMetricsAsMarkdown} from './catalogue_markdown.js';

const PAGE = new URL('../../../docs/METRICS.md', import.meta.url);

writeFileSync(PAGE, formatMetricsAsMarkdown());
