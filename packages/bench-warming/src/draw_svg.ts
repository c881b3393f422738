/** Draws the longest cold start over the accelerator time held, as SVG. */
import {type BenchRow} from './bench.js';
import {type DeploymentName} from './deployment.js';

const WIDTH = 760;
const HEIGHT = 420;
const MARGIN = {left: 70, right: 260, top: 40, bottom: 50};
const MARK_RADIUS = 5;
const COLOURS = ['#b2182b', '#ef8a62', '#67a9cf', '#2166ac'];
/** Lower ends of the logarithmic axes; smaller values are drawn there. */
const MIN_HOURS = 0.01;
const MIN_TAIL_MS = 100;
const FONT = 'font-family="sans-serif" font-size="11"';

interface Axis {
  min: number;
  max: number;
  fromPx: number;
  toPx: number;
}

/** Draws one point per policy and fault of the single big event. */
export function drawTailAgainstIdle(
  deployment: DeploymentName,
  rows: readonly BenchRow[],
): string {
  const shown = rows.filter(
    row => row.deployment === deployment && row.scenario === 'big',
  );
  const policies = [...new Set(shown.map(row => row.policy))];
  const x: Axis = {
    min: MIN_HOURS,
    max: Math.max(1, ...shown.map(row => row.heldBeforeAcceleratorHours)),
    fromPx: MARGIN.left,
    toPx: WIDTH - MARGIN.right,
  };
  const y: Axis = {
    min: MIN_TAIL_MS,
    max: Math.max(1_000, ...shown.map(row => row.coldMaxMs)),
    fromPx: HEIGHT - MARGIN.bottom,
    toPx: MARGIN.top,
  };
  const marks = shown.map(row =>
    drawMark(row, policies.indexOf(row.policy), x, y),
  );
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH}" height="${HEIGHT}">`,
    '<rect width="100%" height="100%" fill="white"/>',
    drawText(MARGIN.left, 20, `${deployment}: one big event, each fault`),
    ...drawAxes(x, y),
    ...marks,
    ...policies.map(drawLegend),
    '</svg>',
    '',
  ].join('\n');
}

function drawMark(row: BenchRow, index: number, x: Axis, y: Axis): string {
  const cx = toPixels(row.heldBeforeAcceleratorHours, x);
  const cy = toPixels(row.coldMaxMs, y);
  const title = `${row.policy}, ${row.fault}: ${row.coldMaxMs} ms`;
  return (
    `<circle cx="${cx}" cy="${cy}" r="${MARK_RADIUS}" fill="${pickColour(index)}"` +
    ` fill-opacity="0.7"><title>${title}</title></circle>`
  );
}

function drawAxes(x: Axis, y: Axis): string[] {
  const decades = (axis: Axis) =>
    Array.from({length: 8}, (_unused, power) => axis.min * 10 ** power).filter(
      value => value <= axis.max,
    );
  return [
    drawLine(x.fromPx, y.fromPx, x.toPx, y.fromPx),
    drawLine(x.fromPx, y.fromPx, x.fromPx, y.toPx),
    ...decades(x).map(value =>
      drawText(toPixels(value, x) - 10, y.fromPx + 18, formatNumber(value)),
    ),
    ...decades(y).map(value =>
      drawText(8, toPixels(value, y) + 4, `${formatNumber(value)} ms`),
    ),
    drawText(
      x.fromPx,
      HEIGHT - 10,
      'accelerator hours held before the start (logarithmic)',
    ),
    drawText(8, MARGIN.top - 8, 'longest cold start (0 at the bottom)'),
  ];
}

function drawLegend(policy: string, index: number): string {
  const top = MARGIN.top + 20 * index;
  const left = WIDTH - MARGIN.right + 30;
  return (
    `<circle cx="${left}" cy="${top}" r="${MARK_RADIUS}" fill="${pickColour(index)}"/>` +
    drawText(left + 12, top + 4, policy)
  );
}

function drawLine(x1: number, y1: number, x2: number, y2: number): string {
  return `<line x1="${x1}" y1="${y1}" x2="${x2}" y2="${y2}" stroke="black"/>`;
}

function drawText(x: number, y: number, text: string): string {
  return `<text x="${x}" y="${y}" ${FONT}>${text}</text>`;
}

/** Maps a value to pixels on a logarithmic axis. */
function toPixels(value: number, axis: Axis): number {
  const bounded = Math.max(axis.min, value);
  const share = Math.log(bounded / axis.min) / Math.log(axis.max / axis.min);
  const px = axis.fromPx + share * (axis.toPx - axis.fromPx);
  return Math.round(px * 10) / 10;
}

function formatNumber(value: number): string {
  return String(Number(value.toPrecision(2)));
}

function pickColour(index: number): string {
  return COLOURS[index % COLOURS.length] ?? 'black';
}
