/** Formats score runs as a text table. */
import {type Round} from './read_rounds.js';

const HEADER =
  'begun                 site          day        worth  served  prices';

export function formatRounds(rounds: readonly Round[]): string {
  const rows = rounds.flatMap(({site, startedAt, days}) =>
    days.map(({name, worth, served, prices}) =>
      [
        startedAt.padEnd(20),
        site.padEnd(12),
        name.padEnd(9),
        worth.toFixed(3),
        served.toFixed(3).padStart(6),
        prices.toFixed(3).padStart(6),
      ].join('  '),
    ),
  );
  return [HEADER, ...rows, ''].join('\n');
}
