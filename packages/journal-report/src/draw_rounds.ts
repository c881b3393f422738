/** Draws one metric of the standard days over all score runs as SVG. */
import {scaleLinear} from 'd3-scale';
import {line} from 'd3-shape';
import {type DayMetrics, type Round} from './read_rounds.js';

const WIDTH = 760;
const HEIGHT = 300;
const MARGIN = {left: 50, right: 150, top: 40, bottom: 40};
const FONT = 'font-family="sans-serif" font-size="11"';
const COLOURS = [
  '#1b9e77',
  '#d95f02',
  '#7570b3',
  '#e7298a',
  '#66a61e',
  '#a6761d',
];

/** Metrics that can be drawn. */
export type FigureName = Exclude<keyof DayMetrics, 'name'>;

/** Draws one line per standard day; a score run without the day is a gap. */
export function drawRounds(
  title: string,
  rounds: readonly Round[],
  figure: FigureName,
): string {
  const names = [
    ...new Set(rounds.flatMap(({days}) => days.map(({name}) => name))),
  ].sort();
  const x = scaleLinear(
    [0, Math.max(1, rounds.length - 1)],
    [MARGIN.left, WIDTH - MARGIN.right],
  );
  const y = scaleLinear([0, 1], [HEIGHT - MARGIN.bottom, MARGIN.top]);
  const path = line<number | null>()
    .defined(value => value !== null)
    .x((_value, index) => x(index))
    .y(value => y(value ?? 0));
  const lines = names.map((name, index) => {
    const values = rounds.map(
      ({days}) => days.find(day => day.name === name)?.[figure] ?? null,
    );
    const colour = COLOURS[index % COLOURS.length] ?? 'black';
    const top = MARGIN.top + 16 * index;
    return (
      `<path d="${path(values) ?? ''}" fill="none" stroke="${colour}"/>` +
      drawText(WIDTH - MARGIN.right + 12, top, name, colour)
    );
  });
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${HEIGHT}">`,
    '<rect width="100%" height="100%" fill="white"/>',
    drawText(MARGIN.left, 20, title),
    ...y
      .ticks(5)
      .map(tick => drawText(12, y(tick) + 4, tick.toFixed(1), 'black')),
    drawText(MARGIN.left, HEIGHT - 12, 'whole scores, the oldest first'),
    ...lines,
    '</svg>',
    '',
  ].join('\n');
}

function drawText(
  x: number,
  y: number,
  text: string,
  colour = 'black',
): string {
  return `<text x="${x}" y="${y}" ${FONT} fill="${colour}">${text}</text>`;
}
