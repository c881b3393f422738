export {drawRounds} from './draw_rounds.js';
export {formatRounds} from './format_rounds.js';
export {
  type DayMetrics,
  type JournalFile,
  type Round,
  readRounds,
} from './read_rounds.js';
