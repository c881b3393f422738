export {
  type CompletionEstimateOptions,
  type EstimatedServer,
  type RequestEnd,
  type SentRequest,
  CompletionEstimate,
} from './completion_estimate.js';
export {
  type CompletionRankingOptions,
  CompletionRanking,
} from './completion_ranking.js';
export {type ReportedLoad} from './server_state.js';
export {SlowdownFigure, isSlowdownPercent} from './slowdown_figure.js';
