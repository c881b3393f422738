export {type KindOutcome, type Outcome, playScenario} from './play_scenario.js';
export {type KindWorth, type Scenario, readScenario} from './scenario.js';
export {
  type PairedDifference,
  type WorthSummary,
  compareWorth,
  summarizeWorth,
} from './summarize_outcomes.js';
